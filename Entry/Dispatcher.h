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

/// Runs the jobs of one data centre: owns its workers, asks the scheduler what to start, and
/// carries each job from its queue to its answer. Use one for each data centre that the
/// membership gives to this instance; drop it after `release`.
class Dispatcher
{
public:
    struct Settings
    {
        std::string instance;
        std::uint64_t incarnation = 0;
        std::string dataCenter;
        WorkerSession::Settings session;
        Duration callTimeout = seconds(3); ///< Of a call about one task.
        Duration resendAfter = milliseconds(500); ///< To a keeper that has not answered.
        /// How long a new dispatcher waits for workers before it starts what they may be running.
        Duration recoveryTimeout = seconds(5);
        /// After so long out of reach, a worker that has left the list is given up for good.
        Duration inDoubtTimeout = seconds(60);
        Duration answerRetention = seconds(60); ///< Finished jobs that no keeper stores.
        std::uint32_t maxFaultRetries = 3; ///< Of one idempotent job.
    };

    /// `keeperOf` names the instance that keeps a durable job's shard, or is empty. Worker calls
    /// are numbered from `firstCall` on.
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
    /// The keeper has recorded the end.
    void handleRecorded(const std::string &key, TimePoint now, EntryActions &out);
    /// `call` is one of this dispatcher's.
    void handleWorkerReply(CallId call, const WorkerReply &reply, TimePoint now, EntryActions &out);
    /// Carries out what the scheduler wants done now; call after events that free or ask for cells.
    void decide(TimePoint now, EntryActions &out);
    void tick(TimePoint now, EntryActions &out);
    /// Gives the role up: workers are released, and requesters are told to go elsewhere.
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
        std::string key; ///< Of the job, or empty for the session's own calls.
        std::size_t member = 0;
        TimePoint sentAt{};
    };

    // Workers.
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

    // Reports.
    void applyReport(WorkerSession &session, const TaskReport &report, TimePoint now,
                     EntryActions &out);
    DispatchJob *adopt(const TaskMetadata &text, TimePoint now);
    void scheduleAdopted(DispatchJob &job, TimePoint now);
    void applyState(Member &member, const TaskReport &report);
    void handleTaskReply(DispatchJob &job, std::size_t index, const WorkerRequest &request,
                         const WorkerReply &reply, TimePoint now, EntryActions &out);
    void handleStartReply(DispatchJob &job, Member &member, const WorkerReply &reply,
                          TimePoint now);
    void setMemberState(Member &member, MemberState state);
    void setMembers(DispatchJob &job, std::vector<Member> members);
    void removeMembers(DispatchJob &job);

    // Jobs.
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
    /// Takes the next step that a job's members allow.
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
    /// Takes a job that waits out of the scheduler's queue.
    void removeFromQueue(DispatchJob &job, TimePoint now);
    void sendUpdate(const DispatchJob &job, EntryActions &out);
    void sendReply(const std::string &to, CallId call, const std::string &key, JobAnswer answer,
                   EntryActions &out);
    void releaseReports(const DispatchJob &job);
    void retryMembers(DispatchJob &job, TimePoint now, EntryActions &out);
    /// False when the job needs no further attention until something happens to it.
    bool tickJob(DispatchJob &job, TimePoint now, EntryActions &out);
    void tickQueued(DispatchJob &job, TimePoint now, EntryActions &out);
    bool tickFinished(DispatchJob &job, TimePoint now, EntryActions &out);
    void enterInDoubt(DispatchJob &job, TimePoint now);
    void resolveInDoubt(DispatchJob &job, TimePoint now, EntryActions &out);
    bool isWorkerGone(const Member &member, const DispatchJob &job, TimePoint now);
    void adoptPlaces(DispatchJob &job, const std::vector<TaskPlace> &places, TimePoint now);
    void eraseJob(const std::string &key);
    bool isRecovering(TimePoint now) const;
    /// What does not fit now may do so when workers that are out of reach are back.
    bool mayFitLater(const Admission &admission) const;
    /// A job that its caller was promised ends by a refusal only if nothing can change it.
    bool isKeptDespiteRefusal(const DispatchJob &job, const Admission &admission,
                              TimePoint now) const;
    void requestTick(const DispatchJob &job) { this->jobsToTick.insert(job.key); }

    CustomerId customerId(const std::string &name);

    Settings settings;
    std::unique_ptr<Scheduler> scheduler;
    std::function<std::string(std::string_view)> keeperOf;
    TimePoint startedAt;
    std::map<std::string, WorkerSession> sessions;
    std::vector<std::string> workerNames; ///< By WorkerId.
    std::map<std::string, WorkerId> workerIds; ///< Ids are kept when a worker leaves the list.
    std::map<std::string, DispatchJob> jobs;
    std::unordered_map<JobId, std::string> keysByJobId;
    std::map<std::string, std::pair<std::string, std::size_t>> tasks; ///< Id to key and member.
    std::map<CallId, PendingCall> calls;
    std::uint64_t nextCall = 1;
    std::uint64_t nextJob = 1;
    std::uint64_t nextTask = 1;
    std::vector<std::string> customerNames; ///< By CustomerId.
    std::map<std::string, CustomerId> customerIds;
    std::map<std::string, CallerId> callerIds;
    std::map<std::string, KindId> kindIds;
    std::vector<Decision> decisions;
    std::map<std::string, std::uint32_t> activeMembers; ///< By worker: members that are not over.
    std::set<std::string> jobsToTick; ///< Keys of jobs with a timer running.
};

} // namespace Hibiscus
