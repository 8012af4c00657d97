#pragma once

#include <Config/Configuration.h>
#include <Entry/DispatchJob.h>
#include <Entry/EntryActions.h>
#include <Entry/TaskMetadata.h>
#include <Entry/WorkerSession.h>
#include <Policy/Scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hibiscus {

/// Runs the jobs of one data centre: owns the data centre's workers, asks the scheduler which jobs
/// to start, and drives each job from the queue to its final answer. The entry machine creates one
/// dispatcher for each data centre that the membership assigns to this instance, and destroys it
/// after `release`.
class Dispatcher
{
public:
    struct Settings
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        std::string dataCenter;
        WorkerSession::Settings session;
        Duration callTimeout = seconds(3); ///< Timeout of a call about one task.
        Duration resendAfter = milliseconds(500); ///< Resend interval of unanswered messages.
        /// How long a new dispatcher waits for its workers' reports before it starts durable jobs,
        /// which the workers may still be running.
        Duration recoveryTimeout = seconds(5);
        /// A worker that has left the list and has been out of reach for this long is treated as
        /// permanently lost.
        Duration inDoubtTimeout = seconds(60);
        /// How long finished jobs that are not durable are kept.
        Duration answerRetention = seconds(60);
        std::uint32_t maxFaultRetries = 3; ///< Retries of one idempotent job after faults.
    };

    /// `keeperOf` returns the name of the instance that keeps the shard of a durable job's key, or
    /// an empty text if there is none. Ids of worker calls start at `firstCall`.
    Dispatcher(const Settings &settings, std::unique_ptr<Scheduler> scheduler,
               std::function<std::string(std::string_view key)> keeperOf, CallId firstCall,
               TimePoint now);
    ~Dispatcher();

    void setWorkers(std::span<const WorkerDescription> workers, TimePoint now, EntryActions &out);
    void setConfiguration(const Configuration &configuration, TimePoint now);

    void admit(const std::string &from, const AdmitJob &message, TimePoint now, EntryActions &out);
    void submit(const std::string &from, const SubmitJob &message, TimePoint now,
                EntryActions &out);
    void cancel(const std::string &from, const CancelJob &message, TimePoint now,
                EntryActions &out);
    void query(const std::string &from, const QueryJob &message, TimePoint now, EntryActions &out);
    void handleAssignReply(const AssignReply &message, TimePoint now, EntryActions &out);
    /// Handles the keeper's notice that it has recorded the end of a job.
    void handleRecorded(const std::string &key, TimePoint now, EntryActions &out);
    /// Handles the reply to a worker call of this dispatcher.
    void handleWorkerReply(CallId call, const WorkerReply &reply, TimePoint now, EntryActions &out);
    /// Executes the scheduler's current decisions. Call it after events that free or request cells.
    void decide(TimePoint now, EntryActions &out);
    void tick(TimePoint now, EntryActions &out);
    /// Gives up the dispatcher role: releases the workers and notifies keepers and requesters that
    /// this instance no longer owns their jobs.
    void release(TimePoint now, EntryActions &out);

    SchedulerGauges gauges() const { return this->scheduler->gauges(); }
    std::vector<std::pair<std::string, CellCounts>> shortfalls() const;
    std::size_t ownedWorkers() const;
    std::size_t knownWorkers() const { return this->sessions.size(); }
    bool hasJob(const std::string &key) const { return this->jobs.count(key) != 0; }
    std::size_t jobCount() const { return this->jobs.size(); }

private:
    struct PendingCall
    {
        std::string worker;
        WorkerRequest request;
        std::string key; ///< Key of the job; empty for calls of the worker session.
        std::size_t member = 0;
        TimePoint sentAt{};
    };

    // Workers, sessions and calls.
    WorkerSession *findSession(const std::string &worker);
    void callWorker(const std::string &worker, WorkerRequest request, const std::string &key,
                    std::size_t member, TimePoint now, EntryActions &out);
    void pollSession(const std::string &name, WorkerSession &session, TimePoint now,
                     EntryActions &out);
    void applySessionUpdate(const std::string &worker, const WorkerSession::Update &update,
                            TimePoint now, EntryActions &out);
    void workerAcquired(WorkerSession &session, const std::vector<TaskReport> &reports,
                        TimePoint now, EntryActions &out);
    void workerLost(WorkerSession &session, TimePoint now, EntryActions &out);
    void expireCalls(TimePoint now, EntryActions &out);

    // Task reports and replies.
    void applyReport(WorkerSession &session, const TaskReport &report, TimePoint now,
                     EntryActions &out);
    DispatchJob *adopt(const TaskMetadata &text, TimePoint now);
    void scheduleAdopted(DispatchJob &job, TimePoint now);
    void applyState(Member &member, const TaskReport &report);
    void handleTaskReply(DispatchJob &job, std::size_t index, const WorkerRequest &request,
                         const WorkerReply &reply, TimePoint now, EntryActions &out);
    void handleStartReply(DispatchJob &job, Member &member, const WorkerReply &reply, TimePoint now,
                          EntryActions &out);
    /// Ends a refused task of which an unanswered Start may still be carried out, by a Stop.
    void revokeStart(DispatchJob &job, Member &member, TimePoint now, EntryActions &out);
    void setMemberState(Member &member, MemberState state);
    void setMembers(DispatchJob &job, std::vector<Member> members);
    void removeMembers(DispatchJob &job);

    // Life cycle of jobs.
    DispatchJob *findJob(const std::string &key);
    QueuedJob queuedJob(const DispatchJob &job, TimePoint now);
    Admission enqueue(DispatchJob &job, TimePoint now);
    void applyDecision(const Decision &decision, TimePoint now, EntryActions &out);
    void assignMembers(DispatchJob &job, std::span<const Placement> placements, TimePoint now,
                       EntryActions &out);
    void sendAssign(DispatchJob &job, TimePoint now, EntryActions &out);
    void reserveOrStart(DispatchJob &job, TimePoint now, EntryActions &out);
    void sendTaskCall(DispatchJob &job, std::size_t index, WorkerVerb verb, TimePoint now,
                      EntryActions &out);
    void sendToAll(DispatchJob &job, WorkerVerb verb, TimePoint now, EntryActions &out);
    /// Moves a job on to the next phase that the states of its members allow.
    void advance(DispatchJob &job, TimePoint now, EntryActions &out);
    void advanceStarting(DispatchJob &job, TimePoint now, EntryActions &out);
    void endJob(DispatchJob &job, EndReason reason, std::optional<WorkerId> faulty, TimePoint now,
                EntryActions &out);
    void stopMembers(DispatchJob &job, TimePoint now, EntryActions &out);
    void concludeEnding(DispatchJob &job, TimePoint now, EntryActions &out);
    void concludeAtMostOnceJob(DispatchJob &job, TimePoint now, EntryActions &out);
    void abandonAttempt(DispatchJob &job, TimePoint now, EntryActions &out);
    void requeue(DispatchJob &job, EndKind kind, TimePoint now, EntryActions &out);
    void finishJob(DispatchJob &job, EndKind kind, JobAnswer answer, TimePoint now,
                   EntryActions &out);
    void leaveScheduler(DispatchJob &job, EndKind kind, bool requeue, TimePoint now);
    /// Removes a waiting job from the scheduler's queue.
    void removeFromQueue(DispatchJob &job, TimePoint now);
    void sendUpdate(const DispatchJob &job, EntryActions &out);
    void sendReply(const std::string &to, CallId call, const std::string &key, JobAnswer answer,
                   EntryActions &out);
    void releaseReports(const DispatchJob &job);
    void retryMembers(DispatchJob &job, TimePoint now, EntryActions &out);
    /// Returns false if the job needs no further ticks until its next event.
    bool tickJob(DispatchJob &job, TimePoint now, EntryActions &out);
    void tickQueued(DispatchJob &job, TimePoint now, EntryActions &out);
    bool tickFinished(DispatchJob &job, TimePoint now, EntryActions &out);
    void enterInDoubt(DispatchJob &job, TimePoint now);
    void resolveInDoubt(DispatchJob &job, TimePoint now, EntryActions &out);
    bool isWorkerGone(const Member &member, const DispatchJob &job, TimePoint now);
    void adoptPlaces(DispatchJob &job, const std::vector<TaskPlace> &places, TimePoint now);
    void eraseJob(const std::string &key);
    bool isRecovering(TimePoint now) const;
    /// True if a job that does not fit may fit once the workers that are out of reach return.
    bool mayFitLater(const Admission &admission) const;
    /// True if a durable job stays queued despite the refusal. The caller was told that the job is
    /// accepted, so a refusal ends it only if no later event can change the refusal.
    bool isKeptDespiteRefusal(const DispatchJob &job, const Admission &admission,
                              TimePoint now) const;
    void requestTick(const DispatchJob &job) { this->jobsToTick.insert(job.key); }

    CustomerId customerId(const std::string &name);

    Settings settings;
    std::unique_ptr<Scheduler> scheduler;
    std::function<std::string(std::string_view)> keeperOf;
    TimePoint startedAt;
    std::map<std::string, WorkerSession> sessions;
    std::vector<std::string> workerNames; ///< Indexed by WorkerId.
    std::map<std::string, WorkerId> workerIds; ///< A worker keeps its id after it leaves the list.
    std::map<std::string, DispatchJob> jobs;
    std::unordered_map<JobId, std::string> keysByJobId;
    /// By task id: the job's key and the member's index.
    std::map<std::string, std::pair<std::string, std::size_t>> tasks;
    std::map<CallId, PendingCall> calls;
    std::uint64_t nextCall = 1;
    std::uint64_t nextJob = 1;
    std::uint64_t nextTask = 1;
    std::vector<std::string> customerNames; ///< Indexed by CustomerId.
    std::map<std::string, CustomerId> customerIds;
    std::map<std::string, CallerId> callerIds;
    std::map<std::string, KindId> kindIds;
    std::vector<Decision> decisions;
    /// By worker: members whose task has not ended.
    std::map<std::string, std::uint32_t> activeMembers;
    std::set<std::string> jobsToTick; ///< Keys of jobs that need a call of `tickJob`.
};

} // namespace Hibiscus
