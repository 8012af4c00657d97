#pragma once

#include <Coordination/EventLogger.h>
#include <Coordination/PublishedKeys.h>
#include <Coordination/WorkerFleet.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace Hibiscus::Coordination {

/// Keeps the leader's SilenceRecord in the store up to date, and withholds leases on all workers
/// that may stand in it. At takeover, it reads the record of the last leader.
class SilenceRecorder
{
public:
    /// Called when the last leader's record was read, or could not be.
    using ReadHandler = std::function<void(TimePoint now)>;

    SilenceRecorder(Tasks::MetadataStore &store, PublishedKeys &published, EventLogger &logger,
                    WorkerFleet &fleet, Duration readTimeout, ReadHandler readHandler);

    /// Begins the term of a leader and reads the record of the last one; see
    /// LeaderElection::Term::lastLeader. Called after `published` and the fleet have begun the
    /// term.
    void begin(const std::string &lastLeader);
    /// Ignores the answer to a call made so far.
    void stop() { this->generation++; }
    /// Whether the attempt to read the last leader's record is over.
    bool isRead() const { return this->read; }

    /// Writes the workers that are silent now if the record has to change. `leader` is the value of
    /// the leader's key in this term.
    void update(const std::string &leader);

private:
    void handleLastRecord(const Tasks::StoreAnswer &answer, TimePoint now);

    Tasks::MetadataStore &store;
    PublishedKeys &published;
    EventLogger &logger;
    WorkerFleet &fleet;
    Duration readTimeout;
    ReadHandler readHandler;
    std::uint64_t generation = 0; ///< Answers to calls of earlier generations are ignored.
    std::string lastLeader; ///< Empty if it is unknown whose record is to be taken.
    bool read = false;
    std::set<std::string> sent; ///< Workers of the newest record that was sent.
};

} // namespace Hibiscus::Coordination
