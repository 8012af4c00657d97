#include <Coordination/SilenceRecord.h>
#include <Coordination/SilenceRecorder.h>
#include <Coordination/StoreKeys.h>

#include <optional>
#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::StoreAnswer;
using Tasks::StoredItem;

SilenceRecorder::SilenceRecorder(Tasks::MetadataStore &store, PublishedKeys &published,
                                 EventLogger &logger, WorkerFleet &fleet, Duration readTimeout,
                                 ReadHandler readHandler)
    : store(store)
    , published(published)
    , logger(logger)
    , fleet(fleet)
    , readTimeout(readTimeout)
    , readHandler(std::move(readHandler))
{}

void SilenceRecorder::begin(const std::string &lastLeader)
{
    this->generation++;
    this->lastLeader = lastLeader;
    this->read = false;
    this->sent.clear();
    const auto answerHandler
        = [this, generation = this->generation](const StoreAnswer &answer, TimePoint now) {
              if (generation == this->generation)
                  this->handleLastRecord(answer, now);
          };
    this->store.read(StoreKeys::silence, this->readTimeout, answerHandler);
}

/// Takes the last leader's record of silent workers. Without an answer, the leases on these workers
/// are counted for longer.
void SilenceRecorder::handleLastRecord(const StoreAnswer &answer, TimePoint now)
{
    this->read = true;
    if (const StoredItem *item = answer.find(StoreKeys::silence)) {
        this->published.setRevision(StoreKeys::silence, item->revision);
        std::optional<SilenceRecord> record = decodeSilence(item->value);
        if (!record)
            this->logger.logEvent(LogKind::Fault, "silence record can't be read",
                                  {{"revision", item->revision},
                                   {"effect", "former leaders may renew leases on all workers"}},
                                  now);
        else if (!this->lastLeader.empty() && record->leader == this->lastLeader)
            this->fleet.setSilentBefore(std::move(record->workers));
    }
    this->readHandler(now);
}

/// The workers that may stand in the stored record are those of the last one that was stored, and
/// of all sent since.
void SilenceRecorder::update(const std::string &leader)
{
    if (this->published.isInFlight(StoreKeys::silence))
        return;
    const bool isKnown = this->published.isStored(StoreKeys::silence);
    if (isKnown)
        this->fleet.withholdLeasesOnly(this->sent);
    std::set<std::string> silent = this->fleet.silentWorkers();
    const bool isStored = isKnown || !this->fleet.withholdsLeases();
    if (isStored && silent == this->sent)
        return;
    this->fleet.withholdLeases(silent);
    const std::string text = encodeSilence({leader, silent});
    this->sent = std::move(silent);
    this->published.publish(StoreKeys::silence, text);
}

} // namespace Hibiscus::Coordination
