#pragma once

#include <Endpoint/WorkerMessage.h>
#include <Fleet/Worker.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus {

/// Ownership of one worker by one dispatcher: acquires the worker under a rising epoch, renews the
/// lease, collects reports while tasks run, and acknowledges reports that are no longer needed.
/// Safety rests on the worker's own checks of lease and epoch; this class only tracks them on the
/// owner's side.
class WorkerSession
{
public:
    struct Settings
    {
        std::string owner; ///< Unique to each run of a process and each dispatcher in it.
        Duration ownerTerm = seconds(3);
        Duration taskTerm = seconds(30);
        Duration renewInterval = seconds(1);
        /// Time between two attempts to acquire or renew.
        Duration retryInterval = milliseconds(300);
        Duration collectWait = seconds(2);
        /// A call without a reply for this long counts as NoAnswer.
        Duration callTimeout = seconds(3);
    };

    enum class State : std::uint8_t { Acquiring, Owned };

    /// Changes that result from a reply or a timeout.
    struct Update
    {
        bool acquired = false; ///< `reports` hold all unacknowledged tasks of the worker.
        bool leaseLost = false; ///< The lease is lost; the worker's running tasks are out of reach.
        std::vector<TaskReport> reports;
    };

    WorkerSession(const Settings &settings, const WorkerDescription &description, WorkerId id);

    /// Adds the calls that are due to `requests`. `collecting` is true while the worker holds tasks
    /// of this owner.
    void poll(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests, Update &update);
    /// Handles the reply to a request that `poll` made.
    Update handleReply(const WorkerRequest &request, const WorkerReply &reply, TimePoint now);
    /// Gives up the lease if the reply to a task's call carries a higher epoch. Returns true if the
    /// lease was held until now.
    bool loseLeaseIfStale(const WorkerReply &reply, TimePoint now);

    /// Makes a request about a task, with this session's owner and epoch.
    WorkerRequest request(WorkerVerb verb, std::string task) const;

    /// Withholds the acknowledgement of a final report, and of all later ones, until its result is
    /// delivered.
    void holdReport(std::uint64_t sequence) { this->heldReports.insert(sequence); }
    /// `incarnation` is the worker's process that numbered the report. Each process begins at 1.
    void releaseReport(std::uint64_t sequence, const std::string &incarnation)
    {
        if (incarnation == this->incarnation)
            this->heldReports.erase(sequence);
    }

    State state() const { return this->ownership; }
    const std::string &workerIncarnation() const { return this->incarnation; }
    WorkerId id() const { return this->workerId; }

    WorkerDescription description;

private:
    void pollAcquire(TimePoint now, std::vector<WorkerRequest> &requests);
    void pollOwned(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests);
    Update handleAcquireReply(const WorkerReply &reply, TimePoint now);
    void handleAcknowledgeReply(std::uint64_t sequence, const WorkerReply &reply, TimePoint now);
    Update handleRenewReply(const WorkerReply &reply, TimePoint now);
    Update loseLease(TimePoint now, Duration retryIn);
    void recordSequences(const std::vector<TaskReport> &reports);

    Settings settings;
    WorkerId workerId;
    State ownership = State::Acquiring;
    std::uint64_t epoch = 1;
    std::string incarnation;
    TimePoint nextAcquireAt{};
    TimePoint nextRenewAt{};
    std::optional<TimePoint> callSentAt; ///< When the pending Acquire or Renew was sent.
    std::optional<TimePoint> collectSentAt;
    TimePoint leaseStart{}; ///< When the last granted Acquire or Renew was sent.
    unsigned undeliveredRenewals = 0; ///< Consecutive renewals that did not reach the worker.
    std::uint64_t highestSequence = 0;
    std::uint64_t acknowledged = 0; ///< Confirmed by the worker.
    std::uint64_t acknowledgeSent = 0; ///< Of the last Acknowledge, unless it failed.
    TimePoint nextAcknowledgeAt{}; ///< Earliest time after an Acknowledge that failed.
    std::set<std::uint64_t> heldReports;
};

} // namespace Hibiscus
