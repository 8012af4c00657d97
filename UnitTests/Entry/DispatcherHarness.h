#pragma once

#include <Entry/Dispatcher.h>

#include <gtest/gtest.h>

namespace Hibiscus::EntryTest {

/// Starts each waiting job on the first worker that is up.
class FirstWorkerScheduler final : public Scheduler
{
public:
    void setCustomers(std::span<const CustomerEntitlement>, TimePoint) override {}
    void setPreset(const Preset &, bool, TimePoint) override {}
    void workerUp(WorkerId worker, const WorkerDescription &, TimePoint) override
    {
        this->up.insert(worker.value);
    }
    void workerLeaving(WorkerId, TimePoint) override {}
    void workerDown(WorkerId worker, TimePoint) override { this->up.erase(worker.value); }
    Admission submit(const QueuedJob &job, TimePoint) override
    {
        this->waiting.push_back(job.job);
        return {};
    }
    bool adopt(const QueuedJob &, std::span<const Placement>, TimePoint) override { return true; }
    bool cancel(JobId job, TimePoint) override { return std::erase(this->waiting, job) != 0; }
    void jobStarted(JobId, TimePoint) override {}
    void jobEnded(JobId job, EndKind, std::optional<WorkerId>, bool requeue, TimePoint) override
    {
        if (requeue)
            this->waiting.push_back(job);
    }
    void decide(TimePoint, std::vector<Decision> &decisions) override
    {
        if (this->up.empty())
            return;
        this->placement = {{WorkerId{*this->up.begin()}, 1}};
        for (const JobId job : std::exchange(this->waiting, {}))
            decisions.push_back({DecisionKind::Start, job, this->placement});
    }
    std::optional<TimePoint> nextWakeup() const override { return std::nullopt; }
    SchedulerGauges gauges() const override { return {}; }
    std::vector<Shortfall> shortfalls() const override { return {}; }

private:
    std::set<std::uint32_t> up;
    std::vector<JobId> waiting;
    std::vector<Placement> placement;
};

/// One dispatcher with one worker, whose calls the test answers by hand, and a keeper, for which
/// the test answers too.
class DispatcherHarness
{
public:
    DispatcherHarness()
        : dispatcher(
            makeSettings(), std::make_unique<FirstWorkerScheduler>(),
            [](std::string_view) { return std::string("keeper"); }, CallId{1}, this->now)
    {}

    static Dispatcher::Settings makeSettings()
    {
        Dispatcher::Settings settings;
        settings.instance = "entry";
        settings.incarnation = 1;
        settings.dataCenter = "namur";
        settings.session.owner = "entry.1";
        return settings;
    }

    void list()
    {
        WorkerDescription worker;
        worker.name = "worker";
        worker.dataCenter = "namur";
        this->dispatcher.setWorkers({&worker, 1}, this->now, this->out);
    }
    void unlist() { this->dispatcher.setWorkers({}, this->now, this->out); }

    void tickAfter(Duration time)
    {
        this->now += time;
        this->dispatcher.tick(this->now, this->out);
    }

    /// Takes the oldest call with the verb that the test has not answered.
    std::optional<WorkerCall> take(WorkerVerb verb)
    {
        auto &calls = this->out.workerCalls;
        const auto it = std::find_if(calls.begin(), calls.end(), [verb](const WorkerCall &call) {
            return call.request.verb == verb;
        });
        if (it == calls.end())
            return std::nullopt;
        WorkerCall call = *it;
        calls.erase(it);
        return call;
    }

    void answer(const WorkerCall &call, WorkerStatus status, std::vector<TaskReport> reports = {},
                std::uint64_t epoch = 0)
    {
        WorkerReply reply;
        reply.status = status;
        reply.incarnation = "process";
        reply.epoch = epoch != 0 ? epoch : call.request.epoch;
        reply.reports = std::move(reports);
        this->dispatcher.handleWorkerReply(call.call, reply, this->now, this->out);
    }

    /// Answers the oldest call with the verb, and returns it.
    WorkerCall answerNext(WorkerVerb verb, WorkerStatus status,
                          std::vector<TaskReport> reports = {}, std::uint64_t epoch = 0)
    {
        const std::optional<WorkerCall> call = this->take(verb);
        if (!call) {
            ADD_FAILURE() << "no call with verb " << static_cast<int>(verb);
            return {};
        }
        this->answer(*call, status, std::move(reports), epoch);
        return *call;
    }

    void acquireListedWorker()
    {
        this->list();
        this->tickAfter(Duration::zero());
        this->answerNext(WorkerVerb::Acquire, WorkerStatus::Ok);
    }

    /// Submits a durable job and returns its Start, which is not answered.
    WorkerCall submit(bool idempotent)
    {
        SubmitJob message;
        message.role = JobRole::Dispatcher;
        message.dataCenter = "namur";
        message.spec.requestId = "job";
        message.spec.customer = "customer";
        message.spec.durable = true;
        message.spec.idempotent = idempotent;
        this->dispatcher.submit("keeper", message, this->now, this->out);
        this->tickAfter(milliseconds(10));
        if (!idempotent)
            this->recordAssignment(0);
        return this->take(WorkerVerb::Start).value_or(WorkerCall{});
    }

    /// The keeper records the places of the attempt, or that it was abandoned.
    void recordAssignment(std::uint32_t attempt)
    {
        AssignReply reply;
        reply.key = key;
        reply.attempt = attempt;
        reply.accepted = true;
        this->dispatcher.handleAssignReply(reply, this->now, this->out);
    }

    void loseLease()
    {
        this->tickAfter(seconds(1));
        this->answerNext(WorkerVerb::Renew, WorkerStatus::Stale, {}, 2);
    }

    bool hasSentAbandonment() const
    {
        return std::any_of(this->out.sends.begin(), this->out.sends.end(), [](const auto &send) {
            const auto *assign = std::get_if<AssignJob>(&send.message);
            return assign && assign->places.empty();
        });
    }
    std::optional<JobAnswer> finalAnswer() const
    {
        for (const PeerSend &send : this->out.sends) {
            const auto *update = std::get_if<JobUpdate>(&send.message);
            if (update && isFinal(update->answer.status))
                return update->answer;
        }
        return std::nullopt;
    }
    std::uint64_t highestAcknowledged() const
    {
        std::uint64_t highest = 0;
        for (const WorkerCall &call : this->out.workerCalls) {
            if (call.request.verb == WorkerVerb::Acknowledge)
                highest = std::max(highest, call.request.sequence);
        }
        return highest;
    }

    static TaskReport report(const WorkerCall &start, std::uint64_t sequence, TaskState state)
    {
        return {sequence, start.request.task, start.request.job, state, 1, {}};
    }

    static constexpr const char *key = "customer/job";
    TimePoint now{seconds(100)};
    EntryActions out;
    Dispatcher dispatcher;
};

} // namespace Hibiscus::EntryTest
