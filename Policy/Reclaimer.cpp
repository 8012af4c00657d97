#include <Policy/Reclaimer.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr std::array<DecisionKind, 3> stepKinds{DecisionKind::Throttle, DecisionKind::Checkpoint,
                                                DecisionKind::Stop};
constexpr std::uint8_t stopStep = 2;

} // namespace

Reclaimer::Reclaimer(const Settings &settings)
    : settings(settings)
{
    assert(settings.throttleDuration < settings.stopDelay
           && settings.stopDelay < settings.leaseTerm);
}

Duration Reclaimer::stepOffset(std::uint8_t step) const
{
    const std::array<Duration, stepKinds.size()> offsets{
        Duration::zero(), this->settings.throttleDuration, this->settings.stopDelay};
    return offsets[step];
}

Reclaimer::Request &Reclaimer::findOrAddRequest(std::uint32_t job, JobId id, TimePoint now)
{
    if (job >= this->requests.size())
        this->requests.resize(job + 1);
    Request &request = this->requests[job];
    if (request.ticket != 0)
        return request;
    request.id = id;
    request.since = now;
    request.ticket = ++this->lastTicket;
    request.step = 0;
    request.mayStop = false;
    request.claimants.clear();
    this->steps.add(now, job, request.ticket);
    ++this->requestTotal;
    return request;
}

void Reclaimer::requestPreemption(std::uint32_t job, JobId id, bool hasStarted,
                                  const Claimant &claimant, TimePoint now)
{
    const bool isNew = !this->hasRequest(job);
    Request &request = this->findOrAddRequest(job, id, now);
    request.claimants.push_back(claimant);
    if (isNew && !hasStarted)
        request.step = stopStep;
    if (!isNew && !request.mayStop) {
        // The open request was only for a migration. The bounds of a preemption apply from now on.
        request.since = now;
        request.ticket = ++this->lastTicket;
        request.step = 0;
        this->steps.add(now, job, request.ticket);
    }
    request.mayStop = true;
}

void Reclaimer::requestMigration(std::uint32_t job, JobId id, TimePoint now)
{
    this->findOrAddRequest(job, id, now);
}

bool Reclaimer::hasRequest(std::uint32_t job) const
{
    return job < this->requests.size() && this->requests[job].ticket != 0;
}

void Reclaimer::advance(TimePoint now, std::vector<Decision> &decisions)
{
    const auto isLive = [this](const TimerHeap::Entry &entry) {
        return this->requests[entry.job].ticket == entry.ticket;
    };
    while (const auto due = this->steps.top(isLive)) {
        if (due->when > now)
            return;
        this->steps.pop();
        Request &request = this->requests[due->job];
        decisions.push_back({.kind = stepKinds[request.step], .job = request.id});
        const std::uint8_t next = request.step + 1;
        if (next >= stepKinds.size() || (next == stopStep && !request.mayStop))
            continue;
        request.step = next;
        this->steps.add(request.since + this->stepOffset(next), due->job, request.ticket);
    }
}

std::optional<TimePoint> Reclaimer::nextStep() const
{
    const TimerHeap::Entry *first = this->steps.front();
    if (first == nullptr)
        return std::nullopt;
    return first->when;
}

void Reclaimer::jobReleased(std::uint32_t job, std::vector<Claimant> &claimants)
{
    if (!this->hasRequest(job))
        return;
    Request &request = this->requests[job];
    claimants.insert(claimants.end(), request.claimants.begin(), request.claimants.end());
    request.claimants.clear();
    request.ticket = 0;
    --this->requestTotal;
}

} // namespace Hibiscus
