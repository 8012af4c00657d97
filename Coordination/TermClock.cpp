#include <Coordination/RecordFields.h>
#include <Coordination/StoreKeys.h>
#include <Coordination/TermClock.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Hibiscus::Coordination {

using nlohmann::json;
using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoredItem;
using Tasks::TermTimeMs;
using Tasks::UnixMs;

std::string encodeTermTime(const TermTimeRecord &record)
{
    return json{{"termTimeMs", record.termTime}, {"timeOfDayMs", record.timeOfDay}}.dump();
}

std::optional<TermTimeRecord> decodeTermTime(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    const json *termTime = findField(value, "termTimeMs", json::value_t::number_unsigned);
    const json *timeOfDay = findField(value, "timeOfDayMs", json::value_t::number_unsigned);
    if (!termTime || !timeOfDay)
        return std::nullopt;
    return TermTimeRecord{termTime->get<TermTimeMs>(), timeOfDay->get<UnixMs>()};
}

TermClock::TermClock(Tasks::MetadataStore &store, PublishedKeys &published, EventLogger &logger,
                     const Settings &settings, ReadHandler readHandler)
    : store(store)
    , published(published)
    , logger(logger)
    , settings(settings)
    , readHandler(std::move(readHandler))
{}

void TermClock::begin()
{
    this->generation++;
    this->read = false;
    this->formerRecord.reset();
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleRecord(answer, now);
          };
    this->store.read(StoreKeys::termTime, this->settings.readTimeout, answerHandler);
}

/// Without an answer, the term time goes on from the latest one in the jobs' records. It is then
/// set back, which keeps finished jobs for longer.
void TermClock::handleRecord(const StoreAnswer &answer, TimePoint now)
{
    this->read = true;
    if (const StoredItem *item = answer.find(StoreKeys::termTime)) {
        this->published.setRevision(StoreKeys::termTime, item->revision);
        this->formerRecord = decodeTermTime(item->value);
        if (!this->formerRecord)
            this->logger.logEvent(
                LogKind::Fault, "term time can't be read",
                {{"revision", item->revision}, {"effect", "finished jobs may be kept for longer"}},
                now);
    }
    this->readHandler(now);
}

void TermClock::start(TermTimeMs latestKnown, UnixMs timeOfDay, TimePoint now)
{
    Runtime::LogFields fields;
    TermTimeMs latest = latestKnown;
    if (this->formerRecord) {
        latest = std::max(latest, this->formerRecord->termTime);
        fields["timeOfDayElapsedMs"] = timeOfDay - this->formerRecord->timeOfDay;
    }
    fields["termTimeMs"] = latest;
    fields["latestInJobsMs"] = latestKnown;
    this->counted = milliseconds(latest);
    this->countedAt = now;
    this->writtenAt = now;
    this->logger.logEvent(LogKind::Leadership, "term time taken over", fields, now);
}

Duration TermClock::stepUntil(TimePoint now) const
{
    return std::clamp(now - this->countedAt, Duration{}, this->settings.longestStep);
}

void TermClock::advance(TimePoint now)
{
    this->counted += this->stepUntil(now);
    this->countedAt = std::max(this->countedAt, now);
}

TermTimeMs TermClock::reading(TimePoint now) const
{
    return toMs(this->counted + this->stepUntil(now));
}

void TermClock::update(UnixMs timeOfDay, TimePoint now)
{
    if (now < this->writtenAt + this->settings.writeInterval)
        return;
    this->writtenAt = now;
    this->published.publish(StoreKeys::termTime,
                            encodeTermTime({this->reading(now), std::max<UnixMs>(0, timeOfDay)}));
}

} // namespace Hibiscus::Coordination
