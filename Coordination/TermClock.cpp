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
    json seen = json::array();
    for (const JobSighting &sighting : record.sightings)
        seen.push_back({sighting.revision, sighting.termTime});
    return json{{"termTimeMs", record.termTime},
                {"timeOfDayMs", record.timeOfDay},
                {"seen", std::move(seen)}}
        .dump();
}

std::optional<TermTimeRecord> decodeTermTime(std::string_view text)
{
    const json value = json::parse(text, nullptr, false);
    const json *termTime = findField(value, "termTimeMs", json::value_t::number_unsigned);
    const json *timeOfDay = findField(value, "timeOfDayMs", json::value_t::number_unsigned);
    const json *seen = findField(value, "seen", json::value_t::array);
    if (!termTime || !timeOfDay || !seen)
        return std::nullopt;
    TermTimeRecord record{termTime->get<TermTimeMs>(), timeOfDay->get<UnixMs>(), {}};
    for (const json &row : *seen) {
        const bool isSighting = row.is_array() && row.size() == 2 && row[0].is_number_unsigned()
            && row[1].is_number_unsigned();
        if (!isSighting)
            return std::nullopt;
        record.sightings.push_back({row[0].get<std::int64_t>(), row[1].get<TermTimeMs>()});
    }
    return record;
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
    this->sightings.clear();
    if (this->formerRecord) {
        latest = std::max(latest, this->formerRecord->termTime);
        fields["timeOfDayElapsedMs"] = timeOfDay - this->formerRecord->timeOfDay;
        for (const JobSighting &sighting : this->formerRecord->sightings)
            this->sightings.add(sighting);
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

void TermClock::update(std::int64_t seenRevision, UnixMs timeOfDay, TimePoint now)
{
    if (now < this->writtenAt + this->settings.writeInterval)
        return;
    this->writtenAt = now;
    this->sightings.add({seenRevision, this->reading(now)});
    const std::span<const JobSighting> seen = this->sightings.all();
    this->published.publish(
        StoreKeys::termTime,
        encodeTermTime(
            {this->reading(now), std::max<UnixMs>(0, timeOfDay), {seen.begin(), seen.end()}}));
}

AgeBounds TermClock::ageOf(std::int64_t revision, TimePoint now) const
{
    return this->sightings.ageOf(revision, this->reading(now));
}

} // namespace Hibiscus::Coordination
