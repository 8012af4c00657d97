#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/PrefixWatch.h>

#include <set>
#include <string>

namespace Hibiscus::Coordination {

/// Follows the operators' requests to evacuate data centres. Nothing starts on the workers of an
/// evacuated data centre until the request is taken back; what runs there goes on.
class EvacuationWatch
{
public:
    struct Settings
    {
        /// Prefix of the requests' keys, which end with the name of the data centre. Empty: the
        /// platform evacuates no data centres, and nothing is read.
        std::string prefix;
        /// Age up to which the known requests are good enough for starts. A start follows a little
        /// later, so this is shorter than the bound for an evacuation to take effect.
        Duration maxAge = seconds(3);
    };

    /// Called after a data centre was evacuated or taken back.
    using ChangeHandler = std::function<void(TimePoint now)>;

    EvacuationWatch(Tasks::MetadataStore &store, TimerService &timers, EventLogger &logger,
                    const Settings &settings, ChangeHandler changed, ChangeHandler listed);

    void start(TimePoint now);
    void stop();
    /// Asks the store at once; to be called when it answers again after an outage.
    void refresh(TimePoint now);

    /// Whether the requests are known, since the last start, or are not used at all.
    bool isListed() const { return !this->isUsed() || this->watch.freshAt(); }
    /// Whether the requests are known as of `maxAge` before now, so that tasks may start.
    bool isCurrent(TimePoint now) const;
    const std::set<std::string, std::less<>> &dataCenters() const { return this->evacuated; }

private:
    bool isUsed() const { return !this->settings.prefix.empty(); }
    void keyChanged(const Tasks::StoredItem &item, TimePoint now);

    EventLogger &logger;
    Settings settings;
    ChangeHandler changed;
    PrefixWatch watch;
    std::set<std::string, std::less<>> evacuated;
};

} // namespace Hibiscus::Coordination
