#include <Gateway/JsonFields.h>
#include <StandIns/StandInWorker.h>

#include <algorithm>
#include <array>
#include <bit>

namespace Hibiscus {

namespace {

/// Factor by which the remaining run time of a throttled task grows.
constexpr int throttleSlowdownFactor = 4;

/// Maximum run time that a payload can request, one day.
constexpr std::uint64_t maxPayloadRunMs = 86'400'000;

/// Options that a payload can set for its task.
struct PayloadOptions
{
    std::optional<Duration> runTime;
    bool fail = false;
};

PayloadOptions parsePayload(std::string_view payload)
{
    PayloadOptions options;
    const nlohmann::json document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object())
        return options;
    const auto runMs = document.find("runMs");
    if (runMs != document.end() && runMs->is_number_unsigned())
        options.runTime = milliseconds(std::min(runMs->get<std::uint64_t>(), maxPayloadRunMs));
    const auto fail = document.find("fail");
    options.fail = fail != document.end() && fail->is_boolean() && fail->get<bool>();
    return options;
}

const char *stateName(TaskState state)
{
    // Indexed by TaskState.
    static constexpr std::array<const char *, 7> names{
        "reserved", "running", "done", "failed", "checkpointed", "stopped", "neverStarted"};
    return names.at(static_cast<std::size_t>(state));
}

std::uint32_t slotCount(SlotMask slots)
{
    return static_cast<std::uint32_t>(std::popcount(slots));
}

} // namespace

StandInWorker::StandInWorker(const Settings &settings)
    : settings(settings)
    , taskRunLog(settings.name, settings.incarnation)
{}

WorkerReply StandInWorker::execute(const WorkerRequest &request, TimePoint now)
{
    this->advance(now);
    WorkerReply reply = this->apply(request, now);
    if (request.verb != WorkerVerb::Collect && this->activeFaults.loseAnswers > 0) {
        --this->activeFaults.loseAnswers;
        return {};
    }
    return reply;
}

WorkerReply StandInWorker::apply(const WorkerRequest &request, TimePoint now)
{
    using Handler = WorkerReply (StandInWorker::*)(const WorkerRequest &, TimePoint);
    // Indexed by WorkerVerb.
    static constexpr std::array<Handler, 10> handlers{
        &StandInWorker::acquire,    &StandInWorker::renew,    &StandInWorker::release,
        &StandInWorker::reserve,    &StandInWorker::start,    &StandInWorker::stop,
        &StandInWorker::checkpoint, &StandInWorker::throttle, &StandInWorker::acknowledge,
        &StandInWorker::collect,
    };
    if (request.verb != WorkerVerb::Acquire && !this->isFromCurrentOwner(request))
        return this->makeStaleReply(now);
    return (this->*handlers.at(static_cast<std::size_t>(request.verb)))(request, now);
}

bool StandInWorker::isFromCurrentOwner(const WorkerRequest &request) const
{
    // An owner whose lease has expired is still served as long as no other owner has acquired the
    // worker.
    return !this->owner.empty() && request.owner == this->owner && request.epoch == this->epoch;
}

WorkerReply StandInWorker::acquire(const WorkerRequest &request, TimePoint now)
{
    const bool leaseValid = !this->owner.empty() && this->ownerLeaseEnd > now;
    const bool heldByOther = leaseValid && this->owner != request.owner;
    if (request.epoch <= this->epoch || heldByOther || request.owner.empty())
        return this->makeStaleReply(now);
    this->owner = request.owner;
    this->epoch = request.epoch;
    this->ownerLeaseEnd = now + request.ownerTerm;
    WorkerReply reply = this->makeReply(WorkerStatus::Ok);
    for (const auto &[sequence, task] : this->tasksByReportSequence)
        reply.reports.push_back(this->tasks.at(task).report);
    return reply;
}

WorkerReply StandInWorker::renew(const WorkerRequest &request, TimePoint now)
{
    this->ownerLeaseEnd = now + request.ownerTerm;
    for (const std::string &name : this->liveTasks) {
        Task &task = this->tasks.at(name);
        if (task.report.state == TaskState::Running)
            task.leaseEnd = now + request.taskTerm;
    }
    return this->makeReply(WorkerStatus::Ok);
}

WorkerReply StandInWorker::release(const WorkerRequest &, TimePoint)
{
    this->owner.clear();
    return this->makeReply(WorkerStatus::Ok);
}

WorkerReply StandInWorker::reserve(const WorkerRequest &request, TimePoint now)
{
    const auto known = this->tasks.find(request.task);
    if (known != this->tasks.end())
        return this->makeTaskReply(WorkerStatus::Seen, known->second);
    if (this->activeFaults.leaving)
        return this->makeReply(WorkerStatus::Leaving);
    if (!this->hasCapacity(request, nullptr))
        return this->makeReply(WorkerStatus::Full);
    Task &task = this->addTask(request);
    task.leaseEnd = now + request.reserveTerm;
    this->recordState(task, TaskState::Reserved, now);
    return this->makeTaskReply(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::start(const WorkerRequest &request, TimePoint now)
{
    const auto known = this->tasks.find(request.task);
    Task *reserved = nullptr;
    if (known != this->tasks.end()) {
        if (known->second.report.state != TaskState::Reserved)
            return this->makeTaskReply(WorkerStatus::Seen, known->second);
        reserved = &known->second;
    }
    // A task that was reserved before is not new work.
    if (reserved == nullptr && this->activeFaults.leaving)
        return this->makeReply(WorkerStatus::Leaving);
    if (!this->hasCapacity(request, reserved))
        return this->makeReply(WorkerStatus::Full);
    Task &task = this->addTask(request);
    this->startTask(task, request, now);
    return this->makeTaskReply(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::stop(const WorkerRequest &request, TimePoint now)
{
    const bool isUnknown = !this->tasks.contains(request.task);
    Task &task = this->tasks[request.task];
    if (isUnknown) {
        // From now on this id can't start, so that the owner can safely report the task as not run.
        task.report.task = request.task;
        task.report.job = request.job;
        this->recordState(task, TaskState::NeverStarted, now);
    } else if (task.report.state == TaskState::Reserved) {
        this->endTask(task, TaskState::NeverStarted, now);
    } else if (task.report.state == TaskState::Running) {
        this->endTask(task, TaskState::Stopped, now);
    }
    return this->makeTaskReply(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::checkpoint(const WorkerRequest &request, TimePoint now)
{
    const auto found = this->tasks.find(request.task);
    if (found == this->tasks.end())
        return this->makeReply(WorkerStatus::UnknownTask);
    Task &task = found->second;
    if (task.report.state == TaskState::Reserved)
        this->endTask(task, TaskState::NeverStarted, now);
    else if (task.report.state == TaskState::Running)
        this->endTask(task, TaskState::Checkpointed, now);
    return this->makeTaskReply(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::throttle(const WorkerRequest &request, TimePoint now)
{
    const auto found = this->tasks.find(request.task);
    if (found == this->tasks.end())
        return this->makeReply(WorkerStatus::UnknownTask);
    Task &task = found->second;
    if (task.report.state == TaskState::Running && !task.throttled) {
        task.throttled = true;
        if (task.finishesAt)
            task.finishesAt = now + (*task.finishesAt - now) * throttleSlowdownFactor;
    }
    return this->makeTaskReply(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::acknowledge(const WorkerRequest &request, TimePoint)
{
    auto entry = this->tasksByReportSequence.begin();
    while (entry != this->tasksByReportSequence.end() && entry->first <= request.sequence) {
        if (this->liveTasks.contains(entry->second)) {
            ++entry; // Reports of reserved and running tasks are kept for the next owner.
            continue;
        }
        Task &task = this->tasks.at(entry->second);
        task.report.result.clear();
        task.payload.clear();
        entry = this->tasksByReportSequence.erase(entry);
    }
    return this->makeReply(WorkerStatus::Ok);
}

WorkerReply StandInWorker::collect(const WorkerRequest &request, TimePoint now)
{
    WorkerReply reply = this->makeReply(WorkerStatus::Ok);
    auto entry = this->tasksByReportSequence.upper_bound(request.sequence);
    for (; entry != this->tasksByReportSequence.end(); ++entry) {
        const Task &task = this->tasks.at(entry->second);
        // Later reports wait too. Otherwise the reader's sequence number would skip this report.
        if (task.reportVisibleFrom > now)
            break;
        reply.reports.push_back(task.report);
    }
    if (this->activeFaults.crossed)
        std::reverse(reply.reports.begin(), reply.reports.end());
    return reply;
}

void StandInWorker::advance(TimePoint now)
{
    for (;;) {
        Task *next = nullptr;
        for (const std::string &name : this->liveTasks) {
            Task &task = this->tasks.at(name);
            if (this->dueTime(task) <= now && (!next || this->dueTime(task) < this->dueTime(*next)))
                next = &task;
        }
        if (!next)
            break;
        this->endDueTask(*next, now);
    }
    this->sampleLoad(now);
}

std::optional<TimePoint> StandInWorker::nextEvent(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint time) {
        if (time > now)
            next = next ? std::min(*next, time) : time;
    };
    for (const std::string &name : this->liveTasks)
        consider(this->dueTime(this->tasks.at(name)));
    for (const auto &[sequence, task] : this->tasksByReportSequence)
        consider(this->tasks.at(task).reportVisibleFrom);
    return next;
}

WorkerReply StandInWorker::makeReply(WorkerStatus status) const
{
    WorkerReply reply;
    reply.status = status;
    reply.incarnation = this->settings.incarnation;
    reply.epoch = this->epoch;
    reply.load = this->reportedLoad;
    return reply;
}

WorkerReply StandInWorker::makeTaskReply(WorkerStatus status, const Task &task) const
{
    WorkerReply reply = this->makeReply(status);
    reply.reports.push_back(task.report);
    return reply;
}

WorkerReply StandInWorker::makeStaleReply(TimePoint now) const
{
    WorkerReply reply = this->makeReply(WorkerStatus::Stale);
    if (!this->owner.empty() && this->ownerLeaseEnd > now)
        reply.ownerLeaseLeft = this->ownerLeaseEnd - now;
    return reply;
}

bool StandInWorker::hasCapacity(const WorkerRequest &request, const Task *replaced) const
{
    const SlotMask allSlots = this->settings.slots >= maxSlots
        ? ~SlotMask{0}
        : (SlotMask{1} << this->settings.slots) - 1;
    SlotMask takenSlots = 0;
    std::uint64_t memory = request.memoryMiB;
    for (const std::string &name : this->liveTasks) {
        const Task &task = this->tasks.at(name);
        if (&task == replaced)
            continue;
        takenSlots |= task.report.slots;
        memory += task.memoryMiB;
    }
    const bool slotsFit = request.slots != 0 && (request.slots & ~allSlots) == 0
        && (request.slots & takenSlots) == 0;
    return slotsFit && (this->settings.memoryMiB == 0 || memory <= this->settings.memoryMiB);
}

StandInWorker::Task &StandInWorker::addTask(const WorkerRequest &request)
{
    Task &task = this->tasks[request.task];
    task.report.task = request.task;
    task.report.job = request.job;
    task.report.slots = request.slots;
    task.memoryMiB = request.memoryMiB;
    this->liveTasks.insert(request.task);
    return task;
}

void StandInWorker::startTask(Task &task, const WorkerRequest &request, TimePoint now)
{
    const PayloadOptions options = parsePayload(request.payload);
    task.payload = request.payload;
    task.leaseEnd = now + request.taskTerm;
    task.fails = options.fail || this->activeFaults.failEverything;
    task.finishesAt = now + options.runTime.value_or(request.declaredRunTime);
    if (this->activeFaults.hang)
        task.finishesAt.reset();
    if (this->activeFaults.failEverything)
        task.finishesAt = now;
    this->taskRunLog.recordStart(request.task, request.job, slotCount(request.slots), now);
    this->recordState(task, TaskState::Running, now);
}

void StandInWorker::endTask(Task &task, TaskState state, TimePoint now)
{
    const bool wasRunning = task.report.state == TaskState::Running;
    if (state == TaskState::Done || state == TaskState::Failed)
        task.report.result = this->makeResult(task);
    this->liveTasks.erase(task.report.task);
    this->recordState(task, state, now);
    if (wasRunning)
        this->taskRunLog.recordEnd(task.report.task, task.report.job, slotCount(task.report.slots),
                                   stateName(state), now);
}

void StandInWorker::recordState(Task &task, TaskState state, TimePoint now)
{
    this->tasksByReportSequence.erase(task.report.sequence);
    task.report.state = state;
    task.report.sequence = ++this->lastSequence;
    task.reportVisibleFrom = now + milliseconds(this->activeFaults.lateMs);
    this->tasksByReportSequence[task.report.sequence] = task.report.task;
}

TimePoint StandInWorker::dueTime(const Task &task) const
{
    const bool finishes = task.report.state == TaskState::Running && task.finishesAt;
    return finishes ? std::min(*task.finishesAt, task.leaseEnd) : task.leaseEnd;
}

void StandInWorker::endDueTask(Task &task, TimePoint now)
{
    if (task.report.state == TaskState::Reserved)
        this->endTask(task, TaskState::NeverStarted, now);
    else if (task.finishesAt && *task.finishesAt <= task.leaseEnd)
        this->endTask(task, task.fails ? TaskState::Failed : TaskState::Done, now);
    else
        this->endTask(task, TaskState::Stopped, now);
}

std::string StandInWorker::makeResult(const Task &task) const
{
    nlohmann::json result{
        {"task", task.report.task}, {"worker", this->settings.name}, {"echo", task.payload}};
    if (task.fails)
        result["error"] = "failed as ordered";
    return jsonText(result);
}

void StandInWorker::sampleLoad(TimePoint now)
{
    if (now - this->sampledAt < this->settings.loadLag)
        return;
    SlotMask running = 0;
    for (const std::string &name : this->liveTasks) {
        const TaskReport &report = this->tasks.at(name).report;
        if (report.state == TaskState::Running)
            running |= report.slots;
    }
    this->reportedLoad = this->sampledLoad;
    this->sampledLoad = static_cast<double>(slotCount(running)) / this->settings.slots;
    this->sampledAt = now;
}

} // namespace Hibiscus
