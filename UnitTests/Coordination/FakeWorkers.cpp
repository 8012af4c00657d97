#include "FakeWorkers.h"

#include <algorithm>

namespace Hibiscus::Coordination::Test {

using Tasks::EndCause;
using Tasks::RunRef;
using Tasks::WorkerAnswer;
using Tasks::WorkerEntry;
using Tasks::WorkerHandler;
using Tasks::WorkerOutcome;

namespace {

/// Clock rate of about half of the workers.
constexpr double slowClockRate = 0.98;

std::string describe(const RunRef &run)
{
    return run.job + "." + std::to_string(run.task.step) + "." + std::to_string(run.task.index)
        + "#" + std::to_string(run.run);
}

} // namespace

TaskScript parseScript(const std::string &payload)
{
    TaskScript script;
    script.runTime = milliseconds(std::atoi(payload.c_str()));
    script.fails = payload.find(",fail") != std::string::npos;
    const auto numberAfter = [&payload](const std::string &name) {
        const std::size_t found = payload.find(name);
        return found == std::string::npos ? 0 : std::atoi(payload.c_str() + found + name.size());
    };
    script.gang = numberAfter(",gang=");
    script.target = numberAfter(",serve=");
    script.bestEffort = payload.find(",fill") != std::string::npos;
    script.needsPermit = payload.find(",permit") != std::string::npos;
    script.restartsWhenDone = payload.find(",again") != std::string::npos;
    script.accelerators = numberAfter(",use=");
    return script;
}

WorkerEntry FakeWorkers::add(const std::string &id, const std::string &rack)
{
    Machine machine;
    machine.startedAt = this->clock.now() - seconds(60);
    machine.entry.id = id;
    machine.entry.address = id + ":1";
    machine.entry.service = "blend";
    machine.entry.labels = {"kind-a", rack};
    machine.entry.dataCenter = rack;
    machine.entry.capacity = {32000, 65536, 8};
    machine.entry.incarnation = 1000;
    WorkerEntry entry = machine.entry;
    this->machines[id] = std::move(machine);
    return entry;
}

WorkerEntry FakeWorkers::restart(const std::string &id, std::int64_t accelerators,
                                 std::int64_t step)
{
    Machine &machine = this->machines[id];
    Machine fresh;
    fresh.entry = machine.entry;
    fresh.entry.incarnation = machine.entry.incarnation + step;
    fresh.entry.capacity.accelerators = accelerators;
    fresh.startedAt = this->clock.now();
    machine = std::move(fresh);
    return machine.entry;
}

void FakeWorkers::kill(const std::string &id)
{
    Machine &machine = this->machines[id];
    machine.alive = false;
    machine.running.clear();
    machine.waiting.clear();
}

std::size_t FakeWorkers::runningOn(const std::string &id) const
{
    return this->machines.at(id).running.size();
}

std::size_t FakeWorkers::runningTasks() const
{
    std::size_t sum = 0;
    for (const auto &[id, machine] : this->machines)
        sum += machine.running.size();
    return sum;
}

std::size_t FakeWorkers::runningTasksOf(const std::string &job) const
{
    std::size_t sum = 0;
    for (const auto &[id, machine] : this->machines) {
        for (const auto &[name, task] : machine.running)
            sum += name.first == job ? 1 : 0;
    }
    return sum;
}

std::size_t FakeWorkers::throttledTasks() const
{
    std::size_t sum = 0;
    for (const auto &[id, machine] : this->machines) {
        for (const auto &[name, task] : machine.running)
            sum += task.pace < 100 ? 1 : 0;
    }
    return sum;
}

bool FakeWorkers::runsJob(const std::string &id, const std::string &job) const
{
    const auto &running = this->machines.at(id).running;
    return std::any_of(running.begin(), running.end(),
                       [&job](const auto &entry) { return entry.first.first == job; });
}

std::size_t FakeWorkers::startsOf(const std::string &job) const
{
    const auto found = this->starts.find(job);
    return found == this->starts.end() ? 0 : found->second;
}

std::int64_t FakeWorkers::clockOf(const Machine &machine) const
{
    const bool slow = std::hash<std::string>()(machine.entry.id) % 2 == 0;
    const double passed = static_cast<double>(toMs(this->clock.now() - machine.startedAt));
    return static_cast<std::int64_t>(slow ? passed * slowClockRate : passed) + 1;
}

bool FakeWorkers::isFenced(Machine &machine, std::int64_t token, WorkerAnswer &answer)
{
    answer.clock = this->clockOf(machine);
    if (token < machine.token) {
        answer.outcome = WorkerOutcome::Fenced;
        return true;
    }
    machine.token = token;
    answer.outcome = WorkerOutcome::Done;
    return false;
}

void FakeWorkers::extendLease(const std::string &id, std::int64_t until)
{
    Machine &machine = this->machines[id];
    const std::int64_t limit = this->clockOf(machine) + toMs(machine.leaseLimit);
    machine.leaseUntil = std::max(machine.leaseUntil, std::min(until, limit));
    const std::int64_t left = machine.leaseUntil - this->clockOf(machine);
    const auto span = static_cast<std::int64_t>(static_cast<double>(left) / slowClockRate) + 2;
    this->clock.in(milliseconds(span), [this, id] { this->checkLease(id); });
}

void FakeWorkers::checkLease(const std::string &id)
{
    Machine &machine = this->machines[id];
    if (this->clockOf(machine) < machine.leaseUntil)
        return;
    while (!machine.running.empty())
        this->end(id, machine.running.begin()->first, EndCause::LeaseExpired);
}

void FakeWorkers::checkCapacity(const std::string &id, const RunRef &run, const TaskScript &script)
{
    const Machine &machine = this->machines.at(id);
    std::int64_t used = script.accelerators;
    for (const auto &[name, task] : machine.running)
        used += task.script.accelerators;
    if (used > machine.entry.capacity.accelerators)
        this->violations.push_back(describe(run) + " brings " + id + " over its capacity");
}

void FakeWorkers::checkStart(const std::string &id, const RunRef &run, const TaskScript &script)
{
    this->checkCapacity(id, run, script);
    const TaskName name{run.job, run.task};
    for (const auto &[other, machine] : this->machines) {
        if (machine.alive && machine.running.contains(name))
            this->violations.push_back(describe(run)
                                           .append(" starts on ")
                                           .append(id)
                                           .append(" while it runs on ")
                                           .append(other));
    }
    if (!script.restartsWhenDone && this->acknowledgedDone.contains(name))
        this->violations.push_back(describe(run) + " starts after its end was acknowledged");
    const auto cancel = this->cancelledAt.find(run.job);
    if (cancel != this->cancelledAt.end()
        && this->clock.now() > cancel->second + this->cancellationBound)
        this->violations.push_back(describe(run) + " starts after its job was cancelled");
    const auto evacuation = this->evacuatedAt.find(this->machines[id].entry.dataCenter);
    // An order that the worker itself delayed may have been sent before the evacuation.
    if (evacuation != this->evacuatedAt.end() && !this->delayedWorkers.contains(id)
        && this->clock.now() > evacuation->second + this->evacuationBound)
        this->violations.push_back(describe(run) + " starts in an evacuated data centre");
}

WorkerAnswer FakeWorkers::start(const std::string &id, const Tasks::StartOrder &order)
{
    Machine &machine = this->machines[id];
    WorkerAnswer answer;
    if (!machine.alive || this->isFenced(machine, order.fencingToken, answer))
        return answer;
    if (this->unhealthyWorkers.contains(id)) {
        answer.outcome = WorkerOutcome::Unhealthy;
        return answer;
    }
    const TaskName name{order.run.job, order.run.task};
    const auto present = machine.running.find(name);
    if (present != machine.running.end() && present->second.run.run == order.run.run)
        return answer;
    const bool newerRunPresent
        = present != machine.running.end() && present->second.run.run > order.run.run;
    const bool alreadyEnded
        = machine.endedRuns.contains(name) && order.run.run <= machine.endedRuns[name];
    if (newerRunPresent || alreadyEnded) {
        answer.outcome = WorkerOutcome::Superseded;
        return answer;
    }
    if (order.leaseUntil <= this->clockOf(machine)) {
        answer.outcome = WorkerOutcome::LeaseExpired;
        return answer;
    }
    TaskScript script = parseScript(order.payload);
    if (this->failingWorkers.contains(id)) {
        script.fails = true;
        script.runTime = milliseconds(50);
    }
    if (script.needsPermit && !this->permitCheck(id, order)) {
        this->permitRejections++;
        answer.outcome = WorkerOutcome::NotPermitted;
        return answer;
    }
    this->checkStart(id, order.run, script);
    this->starts[order.run.job]++;
    Task task;
    task.run = order.run;
    task.script = script;
    task.left = task.script.runTime;
    if (const auto factor = this->slowness.find(id); factor != this->slowness.end())
        task.left = std::chrono::duration_cast<Duration>(task.left * factor->second);
    task.serial = this->nextSerial++;
    const std::uint64_t serial = task.serial;
    const std::int32_t gang = task.script.gang;
    machine.running[name] = std::move(task);
    this->extendLease(id, order.leaseUntil);
    if (gang == 0) {
        this->begin(id, machine.running[name]);
        return answer;
    }
    this->beginGangIfWhole(order.run, gang);
    this->clock.in(this->gangWait, [this, id, name, serial] {
        Machine &late = this->machines[id];
        const auto waiting = late.running.find(name);
        if (waiting != late.running.end() && waiting->second.serial == serial
            && !waiting->second.isWorking)
            this->end(id, name, EndCause::GangIncomplete);
    });
    return answer;
}

void FakeWorkers::begin(const std::string &id, Task &task)
{
    task.isWorking = true;
    task.resumedAt = this->clock.now();
    const TaskName name{task.run.job, task.run.task};
    const std::uint64_t serial = task.serial;
    const bool fails = task.script.fails;
    if (task.script.target > 0)
        this->checkResponseTimes(id);
    this->clock.in(task.left, [this, id, name, serial, fails] {
        Machine &machine = this->machines[id];
        const auto running = machine.running.find(name);
        if (!machine.alive || running == machine.running.end() || running->second.serial != serial)
            return;
        const RunRef run = running->second.run;
        const bool gang = running->second.script.gang != 0;
        this->end(id, name, fails ? EndCause::Failed : EndCause::Done);
        if (gang)
            this->endGang(run, fails ? EndCause::GangMemberEnded : EndCause::Done);
    });
}

void FakeWorkers::beginGangIfWhole(const RunRef &run, std::int32_t members)
{
    std::vector<std::pair<std::string, Task *>> present;
    for (auto &[id, machine] : this->machines) {
        for (auto &[name, task] : machine.running) {
            const bool sameGang = task.run.job == run.job && task.run.run == run.run
                && task.run.task.step == run.task.step
                && task.run.task.occurrence == run.task.occurrence;
            if (machine.alive && sameGang)
                present.emplace_back(id, &task);
        }
    }
    if (present.size() < static_cast<std::size_t>(members))
        return;
    for (auto &[id, task] : present)
        this->begin(id, *task);
}

void FakeWorkers::endGang(const RunRef &run, EndCause cause)
{
    std::vector<std::pair<std::string, TaskName>> members;
    for (auto &[id, machine] : this->machines) {
        for (auto &[name, task] : machine.running) {
            if (task.run.job == run.job && task.run.run == run.run
                && task.run.task.step == run.task.step
                && task.run.task.occurrence == run.task.occurrence)
                members.emplace_back(id, name);
        }
    }
    for (const auto &[id, name] : members)
        this->end(id, name, cause);
}

void FakeWorkers::end(const std::string &id, const TaskName &name, EndCause cause)
{
    Machine &machine = this->machines[id];
    const auto running = machine.running.find(name);
    if (running == machine.running.end())
        return;
    const RunRef run = running->second.run;
    const bool gang = running->second.script.gang != 0 && running->second.isWorking;
    machine.running.erase(running);
    machine.endedRuns[name] = std::max(machine.endedRuns[name], run.run);
    machine.ended.push_back({++machine.lastEnd, run, cause, ""});
    this->discardEnds(id, machine.keptAcknowledgement);
    const auto waiting = std::exchange(machine.waiting, {});
    for (const auto &answer : waiting)
        answer();
    const bool breaksOthers = gang && cause != EndCause::Done && cause != EndCause::GangMemberEnded;
    if (breaksOthers)
        this->endGang(run, EndCause::GangMemberEnded);
}

WorkerAnswer FakeWorkers::stop(const std::string &id, const Tasks::StopOrder &order)
{
    Machine &machine = this->machines[id];
    WorkerAnswer answer;
    if (this->isFenced(machine, order.fencingToken, answer))
        return answer;
    const TaskName name{order.run.job, order.run.task};
    std::int32_t &highestRevoked = machine.endedRuns[name];
    highestRevoked = std::max(highestRevoked, order.run.run);
    const auto running = machine.running.find(name);
    if (running == machine.running.end() || running->second.run.run != order.run.run)
        return answer;
    const std::uint64_t serial = running->second.serial;
    this->clock.in(this->stopTime, [this, id, name, serial] {
        Machine &later = this->machines[id];
        const auto current = later.running.find(name);
        if (current != later.running.end() && current->second.serial == serial)
            this->end(id, name, EndCause::Stopped);
    });
    return answer;
}

WorkerAnswer FakeWorkers::setPace(const std::string &id, const Tasks::PaceOrder &order)
{
    Machine &machine = this->machines[id];
    WorkerAnswer answer;
    if (this->isFenced(machine, order.fencingToken, answer))
        return answer;
    this->paceOrders++;
    const auto running = machine.running.find({order.run.job, order.run.task});
    if (running != machine.running.end() && running->second.run.run == order.run.run)
        running->second.pace = order.percent;
    return answer;
}

double FakeWorkers::loadOf(const Machine &machine, const Task &task) const
{
    if (task.script.target == 0)
        return 0.0;
    double load = this->baseResponseTime;
    for (const auto &[name, other] : machine.running)
        load += other.script.bestEffort ? this->bestEffortDelay * other.pace / 100.0 : 0.0;
    return load;
}

/// Checks the response times every 100 ms while the worker runs latency-sensitive tasks.
void FakeWorkers::checkResponseTimes(const std::string &id)
{
    Machine &machine = this->machines[id];
    const TimePoint now = this->clock.now();
    bool servesUsers = false;
    for (auto &[name, task] : machine.running) {
        if (task.script.target == 0)
            continue;
        servesUsers = true;
        if (this->loadOf(machine, task) <= task.script.target)
            task.overTargetSince.reset();
        else if (!task.overTargetSince)
            task.overTargetSince = now;
        else if (now - *task.overTargetSince > this->maxOverTargetTime)
            this->violations.push_back(describe(task.run)
                                       + " exceeds its response time target for too long");
    }
    if (servesUsers)
        this->clock.in(milliseconds(100), [this, id] { this->checkResponseTimes(id); });
}

WorkerAnswer FakeWorkers::renew(const std::string &id, const Tasks::RenewOrder &order)
{
    Machine &machine = this->machines[id];
    WorkerAnswer answer;
    if (this->isFenced(machine, order.fencingToken, answer))
        return answer;
    if (order.leaseUntil != 0)
        this->extendLease(id, order.leaseUntil);
    if (this->keepsAcknowledgements)
        machine.keptAcknowledgement = std::max(machine.keptAcknowledgement, order.endsRecorded);
    this->discardEnds(id, order.endsRecorded);
    return this->report(machine);
}

void FakeWorkers::discardEnds(const std::string &id, std::int64_t upTo)
{
    Machine &machine = this->machines[id];
    for (const Tasks::EndedTask &ended : machine.ended) {
        if (ended.number <= upTo && ended.cause == EndCause::Done)
            this->acknowledgedDone.insert({ended.run.job, ended.run.task});
        if (ended.number <= upTo && ended.number > machine.listedUpTo)
            this->violations.push_back(describe(ended.run)
                                           .append(" ended as number ")
                                           .append(std::to_string(ended.number))
                                           .append(" on ")
                                           .append(id)
                                           .append(", which discarded it before it was listed"));
    }
    std::erase_if(machine.ended,
                  [upTo](const Tasks::EndedTask &ended) { return ended.number <= upTo; });
}

WorkerAnswer FakeWorkers::report(Machine &machine) const
{
    machine.listedUpTo = machine.lastEnd;
    WorkerAnswer answer;
    answer.outcome = WorkerOutcome::Done;
    answer.clock = this->clockOf(machine);
    answer.incarnation = machine.entry.incarnation;
    for (const auto &[name, task] : machine.running)
        answer.running.push_back(
            {task.run, "", this->percentOf(task), this->loadOf(machine, task)});
    answer.ended = machine.ended;
    return answer;
}

std::int32_t FakeWorkers::percentOf(const Task &task) const
{
    constexpr std::int32_t complete = 100;
    if (!task.isWorking)
        return 0;
    if (this->slowness.empty())
        return complete;
    const Duration done = this->clock.now() - task.resumedAt;
    return static_cast<std::int32_t>(
        std::min<Duration::rep>(complete, complete * done / task.left));
}

bool FakeWorkers::View::reaches(const std::string &id) const
{
    const auto machine = this->workers.machines.find(id);
    if (machine == this->workers.machines.end() || !machine->second.alive)
        return false;
    const auto unreachable = this->workers.unreachableWorkers.find(this->instance);
    return unreachable == this->workers.unreachableWorkers.end()
        || !unreachable->second.contains(id);
}

void FakeWorkers::View::answer(const WorkerHandler &handler, WorkerAnswer answer, Duration delay)
{
    SimClock &clock = this->workers.clock;
    clock.inProcess(
        delay, this->alive, this->suspendedUntil,
        [handler, answer = std::move(answer), &clock] { handler(answer, clock.now()); });
}

void FakeWorkers::View::order(const std::string &id, Duration timeout, const WorkerHandler &handler,
                              const Action &action)
{
    FakeWorkers &target = this->workers;
    if (target.closedWorkers.contains(id)) {
        target.refusedConnections++;
        this->answer(handler, {}, 2 * target.latency);
        return;
    }
    const bool reached = this->reaches(id);
    const bool isDelayed = target.delayedWorkers.contains(id);
    if (reached && isDelayed)
        target.clock.in(target.orderDelay, [action] { action(); });
    if (!reached || isDelayed) {
        this->answer(handler, {}, timeout);
        return;
    }
    target.clock.in(target.latency, [this, &target, action, handler, alive = this->alive] {
        WorkerAnswer result = action();
        if (*alive)
            this->answer(handler, std::move(result), target.latency);
    });
}

void FakeWorkers::View::start(const WorkerEntry &worker, const Tasks::StartOrder &order,
                              Duration timeout, WorkerHandler handler)
{
    this->order(worker.id, timeout, handler, [&target = this->workers, id = worker.id, order] {
        return target.start(id, order);
    });
}

void FakeWorkers::View::stop(const WorkerEntry &worker, const Tasks::StopOrder &order,
                             Duration timeout, WorkerHandler handler)
{
    this->order(worker.id, timeout, handler, [&target = this->workers, id = worker.id, order] {
        return target.stop(id, order);
    });
}

void FakeWorkers::View::setPace(const WorkerEntry &worker, const Tasks::PaceOrder &order,
                                Duration timeout, WorkerHandler handler)
{
    FakeWorkers &target = this->workers;
    if (target.delayedPaceOrders.contains(worker.id)) {
        target.clock.in(target.orderDelay,
                        [&target, id = worker.id, order] { target.setPace(id, order); });
        this->answer(handler, {}, timeout);
        return;
    }
    this->order(worker.id, timeout, handler, [&target = this->workers, id = worker.id, order] {
        return target.setPace(id, order);
    });
}

void FakeWorkers::View::renew(const WorkerEntry &worker, const Tasks::RenewOrder &order,
                              Duration timeout, WorkerHandler handler)
{
    FakeWorkers &target = this->workers;
    const std::string id = worker.id;
    if (!this->reaches(id)) {
        this->answer(handler, {}, timeout);
        return;
    }
    if (target.delayedPolls.contains(id)) {
        target.clock.in(target.orderDelay, [&target, id, order] { target.renew(id, order); });
        this->answer(handler, {}, timeout);
        return;
    }
    const auto delay = target.pollDelays.find(id);
    const Duration way
        = target.latency + (delay == target.pollDelays.end() ? Duration{} : delay->second);
    target.clock.in(way, [this, &target, id, order, handler, alive = this->alive] {
        WorkerAnswer first = target.renew(id, order);
        const bool waits
            = first.outcome == WorkerOutcome::Done && first.ended.empty() && order.wait.count() > 0;
        if (!waits) {
            if (*alive)
                this->answer(handler, std::move(first), target.latency);
            return;
        }
        const auto done = std::make_shared<bool>(false);
        const std::int64_t incarnation = target.machines[id].entry.incarnation;
        const auto reply = [this, &target, id, incarnation, order, handler, alive, done] {
            // A worker that crashes sends nothing, so the next process does not answer the poll.
            const bool isSameProcess = target.machines[id].entry.incarnation == incarnation;
            if (!*alive || !isSameProcess || !this->reaches(id) || std::exchange(*done, true))
                return;
            if (target.waitingPollsAcknowledge)
                target.discardEnds(id, order.endsRecorded);
            this->answer(handler, target.report(target.machines[id]), target.latency);
        };
        target.machines[id].waiting.push_back(reply);
        target.clock.in(order.wait, reply);
        // Reports a timeout if no answer was sent in time.
        target.clock.in(order.wait + milliseconds(500), [this, handler, alive, done] {
            if (!std::exchange(*done, true) && *alive)
                this->answer(handler, {}, Duration{});
        });
    });
}

} // namespace Hibiscus::Coordination::Test
