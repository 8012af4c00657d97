#include <Coordination/EvacuationWatch.h>

#include <utility>

namespace Hibiscus::Coordination {

using Tasks::StoredItem;

EvacuationWatch::EvacuationWatch(Tasks::MetadataStore &store, TimerService &timers,
                                 EventLogger &logger, const Settings &settings,
                                 ChangeHandler changed, ChangeHandler listed)
    : logger(logger)
    , settings(settings)
    , changed(std::move(changed))
    , watch(store, timers, {.prefix = settings.prefix},
            {[this](const StoredItem &item, TimePoint now) { this->keyChanged(item, now); },
             std::move(listed), [](bool, TimePoint) {}})
{}

/// A request that was taken back while nobody watched is not reported as removed, so the set is
/// built anew.
void EvacuationWatch::start(TimePoint now)
{
    this->evacuated.clear();
    if (this->isUsed())
        this->watch.start(now);
}

void EvacuationWatch::stop()
{
    this->watch.stop();
}

void EvacuationWatch::refresh(TimePoint now)
{
    if (this->isUsed())
        this->watch.refresh(now);
}

/// The leader may be cut off from these keys while its commits still reach the store. It starts
/// nothing then, since it can't tell where nothing may start.
bool EvacuationWatch::isCurrent(TimePoint now) const
{
    if (!this->isUsed())
        return true;
    const std::optional<TimePoint> fresh = this->watch.freshAt();
    return fresh && now - *fresh <= this->settings.maxAge;
}

void EvacuationWatch::keyChanged(const StoredItem &item, TimePoint now)
{
    const std::string dataCenter = item.key.substr(this->settings.prefix.size());
    const bool hasChanged = item.removed ? this->evacuated.erase(dataCenter) > 0
                                         : this->evacuated.insert(dataCenter).second;
    if (!hasChanged)
        return;
    this->logger.logEvent(Runtime::LogKind::Dependency,
                          item.removed ? "data centre taken back" : "data centre evacuated",
                          {{"dataCenter", dataCenter}, {"revision", item.revision}}, now);
    this->changed(now);
}

} // namespace Hibiscus::Coordination
