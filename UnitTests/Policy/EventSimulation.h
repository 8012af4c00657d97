#pragma once

#include "SchedulerDriver.h"

#include <algorithm>
#include <functional>
#include <queue>

namespace Hibiscus {

/// Discrete-event simulation of a scheduler: jobs run for their true run time, and borrowers stop
/// soon after their checkpoint is requested and are requeued.
class EventSimulation
{
public:
    struct Arrival
    {
        TimePoint when;
        QueuedJob spec;
        Duration runTime{};
    };

    struct Outcome
    {
        QueuedJob spec;
        TimePoint submitted;
        std::optional<TimePoint> started;
        std::optional<TimePoint> finished;
        Admission answer;
    };

    explicit EventSimulation(SchedulerDriver &driver)
        : driver(driver)
    {}

    void add(TimePoint when, const QueuedJob &spec, Duration runTime)
    {
        this->arrivals.push_back({when, spec, runTime});
    }

    void runUntil(TimePoint until)
    {
        std::stable_sort(
            this->arrivals.begin(), this->arrivals.end(),
            [](const Arrival &left, const Arrival &right) { return left.when < right.when; });
        this->applyDecisions(this->driver.decide());
        while (true) {
            const TimePoint next = this->nextTime();
            if (next > until)
                break;
            this->driver.now = std::max(this->driver.now, next);
            this->handleArrivals();
            this->handleEnds();
            this->applyDecisions(this->driver.decide());
        }
        this->driver.now = until;
    }

    std::map<std::uint64_t, Outcome> outcomes;

    /// Sorted waits of the accepted jobs that match, in seconds; jobs that were not started count
    /// as infinite.
    std::vector<double> waits(const std::function<bool(const Outcome &)> &matches) const
    {
        std::vector<double> values;
        for (const auto &[job, outcome] : this->outcomes) {
            if (!matches(outcome) || !outcome.answer.isAccepted())
                continue;
            const double wait = outcome.started
                ? std::chrono::duration<double>(*outcome.started - outcome.submitted).count()
                : 1e9;
            values.push_back(wait);
        }
        std::sort(values.begin(), values.end());
        return values;
    }

    std::size_t finished(const std::function<bool(const Outcome &)> &matches) const
    {
        std::size_t count = 0;
        for (const auto &[job, outcome] : this->outcomes)
            count += matches(outcome) && outcome.finished.has_value();
        return count;
    }

private:
    struct End
    {
        TimePoint when;
        std::uint64_t sequence;
        JobId job;
        std::uint64_t start; ///< The start of the job that this end belongs to.
        EndKind kind;
        bool operator<(const End &other) const
        {
            return this->when != other.when ? this->when > other.when
                                            : this->sequence > other.sequence;
        }
    };

    TimePoint nextTime() const
    {
        TimePoint next = TimePoint::max();
        if (this->nextArrival < this->arrivals.size())
            next = this->arrivals[this->nextArrival].when;
        if (!this->ends.empty())
            next = std::min(next, this->ends.top().when);
        const auto wakeup = this->driver.scheduler.nextWakeup();
        if (wakeup && *wakeup > this->driver.now)
            next = std::min(next, *wakeup);
        return next;
    }

    void handleArrivals()
    {
        while (this->nextArrival < this->arrivals.size()
               && this->arrivals[this->nextArrival].when <= this->driver.now) {
            const Arrival &arrival = this->arrivals[this->nextArrival++];
            Outcome &outcome = this->outcomes[arrival.spec.job.value];
            outcome.spec = arrival.spec;
            outcome.submitted = this->driver.now;
            this->runTimes[arrival.spec.job.value] = arrival.runTime;
            outcome.answer = this->driver.submit(arrival.spec);
        }
    }

    void handleEnds()
    {
        while (!this->ends.empty() && this->ends.top().when <= this->driver.now) {
            const End end = this->ends.top();
            this->ends.pop();
            const bool isCurrent = this->driver.running.contains(end.job.value)
                && this->starts[end.job.value] == end.start;
            if (!isCurrent)
                continue;
            const bool isPreempted = end.kind == EndKind::Preempted;
            this->driver.end(end.job, end.kind, isPreempted);
            if (!isPreempted)
                this->outcomes[end.job.value].finished = this->driver.now;
        }
    }

    void applyDecisions(const std::vector<SchedulerDriver::Event> &events)
    {
        for (const SchedulerDriver::Event &event : events) {
            const std::uint64_t job = event.job.value;
            if (event.kind == DecisionKind::Start) {
                Outcome &outcome = this->outcomes[job];
                if (!outcome.started)
                    outcome.started = this->driver.now;
                ++this->starts[job];
                this->scheduleEnd(job, this->runTimes[job], EndKind::Finished);
            } else if (event.kind == DecisionKind::Checkpoint) {
                this->scheduleEnd(job, seconds(1), EndKind::Preempted);
            } else if (event.kind == DecisionKind::Stop) {
                this->scheduleEnd(job, milliseconds(100), EndKind::Preempted);
            }
        }
    }

    void scheduleEnd(std::uint64_t job, Duration after, EndKind kind)
    {
        this->ends.push(
            {this->driver.now + after, ++this->sequence, {job}, this->starts[job], kind});
    }

    SchedulerDriver &driver;
    std::vector<Arrival> arrivals;
    std::size_t nextArrival = 0;
    std::priority_queue<End> ends;
    std::map<std::uint64_t, std::uint64_t> starts;
    std::map<std::uint64_t, Duration> runTimes;
    std::uint64_t sequence = 0;
};

} // namespace Hibiscus
