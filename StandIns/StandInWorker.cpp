#include <Gateway/JsonFields.h>
#include <StandIns/StandInWorker.h>

#include <algorithm>
#include <array>
#include <bit>

namespace Hibiscus {

namespace {

/// A throttled task takes so many times as long.
constexpr int throttledSlowness = 4;

/// The longest run time that a payload can ask for, one day.
constexpr std::uint64_t longestRunMs = 86'400'000;

/// What a payload may ask of a task.
struct PayloadOrders
{
    std::optional<Duration> runTime;
    bool fail = false;
};

PayloadOrders readPayload(std::string_view payload)
{
    PayloadOrders orders;
    const nlohmann::json document = nlohmann::json::parse(payload, nullptr, false);
    if (!document.is_object())
        return orders;
    const auto runMs = document.find("runMs");
    if (runMs != document.end() && runMs->is_number_unsigned())
        orders.runTime = milliseconds(std::min(runMs->get<std::uint64_t>(), longestRunMs));
    const auto fail = document.find("fail");
    orders.fail = fail != document.end() && fail->is_boolean() && fail->get<bool>();
    return orders;
}

const char *nameOf(TaskState state)
{
    // In the order of TaskState.
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
    , runLog(settings.name, settings.incarnation)
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
    // In the order of WorkerVerb.
    static constexpr std::array<Handler, 10> handlers{
        &StandInWorker::acquire,    &StandInWorker::renew,    &StandInWorker::release,
        &StandInWorker::reserve,    &StandInWorker::start,    &StandInWorker::stop,
        &StandInWorker::checkpoint, &StandInWorker::throttle, &StandInWorker::acknowledge,
        &StandInWorker::collect,
    };
    if (request.verb != WorkerVerb::Acquire && !this->isObeyed(request))
        return this->answerStale(now);
    return (this->*handlers.at(static_cast<std::size_t>(request.verb)))(request, now);
}

bool StandInWorker::isObeyed(const WorkerRequest &request) const
{
    // A lapsed lease alone changes nothing: nobody else has been obeyed since.
    return !this->owner.empty() && request.owner == this->owner && request.epoch == this->epoch;
}

WorkerReply StandInWorker::acquire(const WorkerRequest &request, TimePoint now)
{
    const bool held = !this->owner.empty() && this->ownerLeaseEnd > now;
    const bool heldByOther = held && this->owner != request.owner;
    if (request.epoch <= this->epoch || heldByOther || request.owner.empty())
        return this->answerStale(now);
    this->owner = request.owner;
    this->epoch = request.epoch;
    this->ownerLeaseEnd = now + request.ownerTerm;
    WorkerReply reply = this->answer(WorkerStatus::Ok);
    for (const auto &[sequence, task] : this->reported)
        reply.reports.push_back(this->tasks.at(task).report);
    return reply;
}

WorkerReply StandInWorker::renew(const WorkerRequest &request, TimePoint now)
{
    this->ownerLeaseEnd = now + request.ownerTerm;
    for (const std::string &name : this->live) {
        Task &task = this->tasks.at(name);
        if (task.report.state == TaskState::Running)
            task.leaseEnd = now + request.taskTerm;
    }
    return this->answer(WorkerStatus::Ok);
}

WorkerReply StandInWorker::release(const WorkerRequest &, TimePoint)
{
    this->owner.clear();
    return this->answer(WorkerStatus::Ok);
}

WorkerReply StandInWorker::reserve(const WorkerRequest &request, TimePoint now)
{
    const auto seen = this->tasks.find(request.task);
    if (seen != this->tasks.end())
        return this->answerWith(WorkerStatus::Seen, seen->second);
    if (this->activeFaults.leaving)
        return this->answer(WorkerStatus::Leaving);
    if (!this->hasRoom(request, nullptr))
        return this->answer(WorkerStatus::Full);
    Task &task = this->addTask(request);
    task.leaseEnd = now + request.reserveTerm;
    this->report(task, TaskState::Reserved, now);
    return this->answerWith(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::start(const WorkerRequest &request, TimePoint now)
{
    const auto seen = this->tasks.find(request.task);
    Task *reserved = nullptr;
    if (seen != this->tasks.end()) {
        if (seen->second.report.state != TaskState::Reserved)
            return this->answerWith(WorkerStatus::Seen, seen->second);
        reserved = &seen->second;
    }
    // What was reserved before is not new work.
    if (reserved == nullptr && this->activeFaults.leaving)
        return this->answer(WorkerStatus::Leaving);
    if (!this->hasRoom(request, reserved))
        return this->answer(WorkerStatus::Full);
    Task &task = this->addTask(request);
    this->run(task, request, now);
    return this->answerWith(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::stop(const WorkerRequest &request, TimePoint now)
{
    const bool unseen = !this->tasks.contains(request.task);
    Task &task = this->tasks[request.task];
    if (unseen) {
        // From here on this id can't start, so that the owner may say "not run".
        task.report.task = request.task;
        task.report.job = request.job;
        this->report(task, TaskState::NeverStarted, now);
    } else if (task.report.state == TaskState::Reserved) {
        this->end(task, TaskState::NeverStarted, now);
    } else if (task.report.state == TaskState::Running) {
        this->end(task, TaskState::Stopped, now);
    }
    return this->answerWith(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::checkpoint(const WorkerRequest &request, TimePoint now)
{
    const auto found = this->tasks.find(request.task);
    if (found == this->tasks.end())
        return this->answer(WorkerStatus::UnknownTask);
    Task &task = found->second;
    if (task.report.state == TaskState::Reserved)
        this->end(task, TaskState::NeverStarted, now);
    else if (task.report.state == TaskState::Running)
        this->end(task, TaskState::Checkpointed, now);
    return this->answerWith(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::throttle(const WorkerRequest &request, TimePoint now)
{
    const auto found = this->tasks.find(request.task);
    if (found == this->tasks.end())
        return this->answer(WorkerStatus::UnknownTask);
    Task &task = found->second;
    if (task.report.state == TaskState::Running && !task.throttled) {
        task.throttled = true;
        if (task.finishesAt)
            task.finishesAt = now + (*task.finishesAt - now) * throttledSlowness;
    }
    return this->answerWith(WorkerStatus::Ok, task);
}

WorkerReply StandInWorker::acknowledge(const WorkerRequest &request, TimePoint)
{
    auto entry = this->reported.begin();
    while (entry != this->reported.end() && entry->first <= request.sequence) {
        if (this->live.contains(entry->second)) {
            ++entry; // What runs stays in the list for the next owner.
            continue;
        }
        Task &task = this->tasks.at(entry->second);
        task.report.result.clear();
        task.payload.clear();
        entry = this->reported.erase(entry);
    }
    return this->answer(WorkerStatus::Ok);
}

WorkerReply StandInWorker::collect(const WorkerRequest &request, TimePoint now)
{
    WorkerReply reply = this->answer(WorkerStatus::Ok);
    auto entry = this->reported.upper_bound(request.sequence);
    for (; entry != this->reported.end(); ++entry) {
        const Task &task = this->tasks.at(entry->second);
        // Later reports wait too, or the reader's sequence would pass this one by.
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
        for (const std::string &name : this->live) {
            Task &task = this->tasks.at(name);
            if (this->dueAt(task) <= now && (!next || this->dueAt(task) < this->dueAt(*next)))
                next = &task;
        }
        if (!next)
            break;
        this->endDue(*next, now);
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
    for (const std::string &name : this->live)
        consider(this->dueAt(this->tasks.at(name)));
    for (const auto &[sequence, task] : this->reported)
        consider(this->tasks.at(task).reportVisibleFrom);
    return next;
}

WorkerReply StandInWorker::answer(WorkerStatus status) const
{
    WorkerReply reply;
    reply.status = status;
    reply.incarnation = this->settings.incarnation;
    reply.epoch = this->epoch;
    reply.load = this->reportedLoad;
    return reply;
}

WorkerReply StandInWorker::answerWith(WorkerStatus status, const Task &task) const
{
    WorkerReply reply = this->answer(status);
    reply.reports.push_back(task.report);
    return reply;
}

WorkerReply StandInWorker::answerStale(TimePoint now) const
{
    WorkerReply reply = this->answer(WorkerStatus::Stale);
    if (!this->owner.empty() && this->ownerLeaseEnd > now)
        reply.ownerLeaseLeft = this->ownerLeaseEnd - now;
    return reply;
}

bool StandInWorker::hasRoom(const WorkerRequest &request, const Task *replaced) const
{
    const SlotMask all = this->settings.slots >= maxSlots
        ? ~SlotMask{0}
        : (SlotMask{1} << this->settings.slots) - 1;
    SlotMask taken = 0;
    std::uint64_t memory = request.memoryMiB;
    for (const std::string &name : this->live) {
        const Task &task = this->tasks.at(name);
        if (&task == replaced)
            continue;
        taken |= task.report.slots;
        memory += task.memoryMiB;
    }
    const bool slotsFit
        = request.slots != 0 && (request.slots & ~all) == 0 && (request.slots & taken) == 0;
    return slotsFit && (this->settings.memoryMiB == 0 || memory <= this->settings.memoryMiB);
}

StandInWorker::Task &StandInWorker::addTask(const WorkerRequest &request)
{
    Task &task = this->tasks[request.task];
    task.report.task = request.task;
    task.report.job = request.job;
    task.report.slots = request.slots;
    task.memoryMiB = request.memoryMiB;
    this->live.insert(request.task);
    return task;
}

void StandInWorker::run(Task &task, const WorkerRequest &request, TimePoint now)
{
    const PayloadOrders orders = readPayload(request.payload);
    task.payload = request.payload;
    task.leaseEnd = now + request.taskTerm;
    task.fails = orders.fail || this->activeFaults.failEverything;
    task.finishesAt = now + orders.runTime.value_or(request.declaredRunTime);
    if (this->activeFaults.hang)
        task.finishesAt.reset();
    if (this->activeFaults.failEverything)
        task.finishesAt = now;
    this->runLog.started(request.task, request.job, slotCount(request.slots), now);
    this->report(task, TaskState::Running, now);
}

void StandInWorker::end(Task &task, TaskState state, TimePoint now)
{
    const bool ran = task.report.state == TaskState::Running;
    if (state == TaskState::Done || state == TaskState::Failed)
        task.report.result = this->resultOf(task);
    this->live.erase(task.report.task);
    this->report(task, state, now);
    if (ran)
        this->runLog.ended(task.report.task, task.report.job, slotCount(task.report.slots),
                           nameOf(state), now);
}

void StandInWorker::report(Task &task, TaskState state, TimePoint now)
{
    this->reported.erase(task.report.sequence);
    task.report.state = state;
    task.report.sequence = ++this->lastSequence;
    task.reportVisibleFrom = now + milliseconds(this->activeFaults.lateMs);
    this->reported[task.report.sequence] = task.report.task;
}

TimePoint StandInWorker::dueAt(const Task &task) const
{
    const bool finishes = task.report.state == TaskState::Running && task.finishesAt;
    return finishes ? std::min(*task.finishesAt, task.leaseEnd) : task.leaseEnd;
}

void StandInWorker::endDue(Task &task, TimePoint now)
{
    if (task.report.state == TaskState::Reserved)
        this->end(task, TaskState::NeverStarted, now);
    else if (task.finishesAt && *task.finishesAt <= task.leaseEnd)
        this->end(task, task.fails ? TaskState::Failed : TaskState::Done, now);
    else
        this->end(task, TaskState::Stopped, now);
}

std::string StandInWorker::resultOf(const Task &task) const
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
    for (const std::string &name : this->live) {
        const TaskReport &report = this->tasks.at(name).report;
        if (report.state == TaskState::Running)
            running |= report.slots;
    }
    this->reportedLoad = this->sampledLoad;
    this->sampledLoad = static_cast<double>(slotCount(running)) / this->settings.slots;
    this->sampledAt = now;
}

} // namespace Hibiscus
