#include <Policy/WorkerHealth.h>

#include <algorithm>

namespace Hibiscus {

void WorkerHealth::add(WorkerId worker)
{
    if (worker.value >= this->records.size())
        this->records.resize(worker.value + 1);
    Record &record = this->records[worker.value];
    if (record.isKnown)
        return;
    record = {};
    record.isKnown = true;
    ++this->knownCount;
}

void WorkerHealth::remove(WorkerId worker)
{
    if (worker.value >= this->records.size() || !this->records[worker.value].isKnown)
        return;
    Record &record = this->records[worker.value];
    this->ejected -= record.state != HealthState::Healthy;
    std::erase(this->backingOff, worker);
    this->updateEarliest();
    record = {};
    --this->knownCount;
}

void WorkerHealth::recordSuccess(WorkerId worker)
{
    Record &record = this->records[worker.value];
    record.faults = 0;
    record.errors = 0;
    record.kinds = 0;
    // A task that was started before the ejection proves the worker healthy just as a probe does.
    if (record.state == HealthState::Healthy)
        return;
    --this->ejected;
    std::erase(this->backingOff, worker);
    this->updateEarliest();
    record.state = HealthState::Healthy;
    record.backoff = {};
}

void WorkerHealth::recordFault(WorkerId worker, TimePoint now)
{
    Record &record = this->records[worker.value];
    if (!record.isKnown)
        return;
    ++record.faults;
    if (record.state == HealthState::Probing || record.faults >= this->settings.faultsToEject)
        this->eject(worker, now);
}

void WorkerHealth::recordError(WorkerId worker, KindId kind, TimePoint now)
{
    Record &record = this->records[worker.value];
    if (!record.isKnown)
        return;
    ++record.errors;
    record.kinds += record.kinds == 0 || record.lastKind != kind;
    record.lastKind = kind;
    if (record.errors >= this->settings.errorsToEject
        && record.kinds >= this->settings.kindsToEject)
        this->eject(worker, now);
}

void WorkerHealth::eject(WorkerId worker, TimePoint now)
{
    Record &record = this->records[worker.value];
    if (record.state == HealthState::Ejected)
        return;
    if (record.state == HealthState::Healthy) {
        // When many workers fail at once the cause lies elsewhere, and ejecting all of them would
        // stop all work.
        const auto most
            = static_cast<std::uint32_t>(this->settings.maxEjectedShare * this->knownCount);
        if (this->ejected >= most)
            return;
        ++this->ejected;
    }
    const Duration doubled = std::max(this->settings.initialBackoff, record.backoff * 2);
    record.backoff = std::min(doubled, this->settings.maxBackoff);
    record.until = now + record.backoff;
    record.state = HealthState::Ejected;
    this->backingOff.push_back(worker);
    this->updateEarliest();
}

bool WorkerHealth::advance(TimePoint now)
{
    const auto isOver = [this, now](WorkerId worker) {
        Record &record = this->records[worker.value];
        if (record.until > now)
            return false;
        record.state = HealthState::Probing;
        return true;
    };
    if (!this->earliest || *this->earliest > now)
        return false;
    std::erase_if(this->backingOff, isOver);
    this->updateEarliest();
    return true;
}

void WorkerHealth::updateEarliest()
{
    this->earliest.reset();
    for (const WorkerId worker : this->backingOff) {
        const TimePoint until = this->records[worker.value].until;
        if (!this->earliest || until < *this->earliest)
            this->earliest = until;
    }
}

} // namespace Hibiscus
