#pragma once

#include <Endpoint/WorkerMessage.h>
#include <Fleet/Worker.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus {

/// Ownership of one worker by one dispatcher: acquires it under a rising epoch, renews the lease,
/// collects reports while tasks run, and acknowledges what is safe. Safety lies in the worker's
/// own lease and epoch check; this class only keeps the owner's side in step with them.
class WorkerSession
{
public:
    struct Settings
    {
        std::string owner; ///< Instance and incarnation; no two runs of a process share it.
        Duration ownerTerm = seconds(3);
        Duration taskTerm = seconds(30);
        Duration renewInterval = seconds(1);
        Duration retryInterval = milliseconds(300); ///< Between two tries to acquire.
        Duration collectWait = seconds(2);
        Duration callTimeout = seconds(3); ///< A call without a reply counts as NoAnswer after it.
    };

    enum class State : std::uint8_t { Acquiring, Owned };

    /// What a reply has changed.
    struct Update
    {
        bool acquired = false; ///< `reports` name everything unacknowledged on the worker.
        bool leaseLost = false; ///< The lease is gone; what runs there is out of reach.
        std::vector<TaskReport> reports;
    };

    WorkerSession(const Settings &settings, const WorkerDescription &description, WorkerId id);

    /// Calls that are due. `collecting`: tasks of this owner are on the worker.
    void poll(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests, Update &update);
    /// The reply to a request of `poll`.
    Update handleReply(const WorkerRequest &request, const WorkerReply &reply, TimePoint now);
    /// Learns from a reply to a task's call that ownership is gone. True if it was held.
    bool loseLeaseIfStale(const WorkerReply &reply, TimePoint now);

    /// Fills owner and epoch into a request about a task.
    WorkerRequest request(WorkerVerb verb, std::string task) const;

    /// A final report that is not yet safe elsewhere; it holds acknowledgement back.
    void holdReport(std::uint64_t sequence) { this->heldReports.insert(sequence); }
    void releaseReport(std::uint64_t sequence) { this->heldReports.erase(sequence); }

    State state() const { return this->ownership; }
    const std::string &workerIncarnation() const { return this->incarnation; }
    WorkerId id() const { return this->workerId; }

    WorkerDescription description;

private:
    void pollAcquire(TimePoint now, std::vector<WorkerRequest> &requests);
    void pollOwned(bool collecting, TimePoint now, std::vector<WorkerRequest> &requests);
    Update handleAcquireReply(const WorkerReply &reply, TimePoint now);
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
    std::optional<TimePoint> callSentAt; ///< Of the Acquire or Renew on its way.
    std::optional<TimePoint> collectSentAt;
    TimePoint leaseStart{}; ///< When the last granted Acquire or Renew was sent.
    unsigned undeliveredRenewals = 0; ///< Renewals in a row that never reached the worker.
    std::uint64_t highestSequence = 0;
    std::uint64_t acknowledged = 0;
    std::set<std::uint64_t> heldReports;
};

} // namespace Hibiscus
