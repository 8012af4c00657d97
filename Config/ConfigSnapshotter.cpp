#include <Config/ConfigSnapshotter.h>

#include <Config/ConfigurationJson.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hibiscus {

namespace {

constexpr std::int64_t removalsPerList = 8;
// A snapshot is given up after this many consecutive failures. The next one removes the keys that
// were left.
constexpr int maxFailures = 5;

} // namespace

ConfigSnapshotter::ConfigSnapshotter(const ConfigReplicaSettings &settings, const ConfigKeys &keys,
                                     std::uint64_t firstCall, std::uint64_t callStep)
    : keys(keys)
    , changesPerSnapshot(settings.changesPerSnapshot)
    , channel(firstCall, callStep, settings.storeTimeout)
    , backoff(settings.backoffFirst, settings.backoffLargest, settings.seed ^ 0x5eedULL)
{}

void ConfigSnapshotter::noteFloor(const StoreEntry &entry)
{
    const auto revision = revisionFromText(entry.value);
    if (!revision || entry.revision < this->floorStoreRevision)
        return;
    this->floorStoreRevision = entry.revision;
    this->knownFloor = std::max(this->knownFloor, *revision);
}

void ConfigSnapshotter::noteSnapshot(const StoreEntry &entry)
{
    // While a snapshot is being written, its expected revision must not change. Otherwise the write
    // would replace a newer snapshot without reading it.
    if (this->isIdle())
        this->snapshotStoreRevision = std::max(this->snapshotStoreRevision, entry.revision);
}

bool ConfigSnapshotter::isDue(std::uint64_t revision) const
{
    // The floor stays changesPerSnapshot revisions below the snapshot, so that a reader that lags a
    // little finds the changes it is missing and need not read a whole snapshot.
    return revision >= this->knownFloor + 2 * std::uint64_t(this->changesPerSnapshot);
}

void ConfigSnapshotter::start(std::uint64_t revision, std::string text, TimePoint now,
                              ConfigActions &out)
{
    assert(this->isIdle());
    this->snapshotRevision = revision;
    this->snapshotText = std::move(text);
    this->failures = 0;
    this->step = Step::WriteSnapshot;
    this->startNextCall(now, out);
}

bool ConfigSnapshotter::storeReply(CallId call, const StoreReply &reply, TimePoint now,
                                   ConfigActions &out)
{
    if (!this->channel.acceptReply(call))
        return false;
    this->handle(reply, now, out);
    return true;
}

void ConfigSnapshotter::tick(TimePoint now, ConfigActions &out)
{
    if (this->channel.expire(now))
        this->handle(StoreReply{}, now, out);
    this->startNextCall(now, out);
}

TimePoint ConfigSnapshotter::nextWakeup() const
{
    if (this->isIdle())
        return TimePoint::max();
    return this->channel.isBusy() ? this->channel.deadline() : this->waitUntil;
}

void ConfigSnapshotter::startNextCall(TimePoint now, ConfigActions &out)
{
    if (this->isIdle() || this->channel.isBusy() || now < this->waitUntil)
        return;
    // The floor must never decrease, and another instance may have raised it further meanwhile.
    if (this->step == Step::WriteFloor && this->knownFloor >= this->wantedFloor())
        this->step = Step::ListObsolete;
    StoreRequest request;
    switch (this->step) {
    case Step::WriteSnapshot:
        request.verb = StoreVerb::CompareAndSwap;
        request.key = this->keys.snapshot();
        request.value = this->snapshotText;
        request.revision = this->snapshotStoreRevision;
        break;
    case Step::WriteFloor:
        request.verb = StoreVerb::CompareAndSwap;
        request.key = this->keys.floor();
        request.value = revisionToText(this->wantedFloor());
        request.revision = this->floorStoreRevision;
        break;
    case Step::ListObsolete:
        request.verb = StoreVerb::List;
        request.key = this->keys.change(0);
        request.end = this->keys.change(this->knownFloor + 1);
        request.limit = removalsPerList;
        break;
    case Step::RemoveObsolete:
        request.verb = StoreVerb::Remove;
        request.key = this->obsolete.front().key;
        request.revision = this->obsolete.front().revision;
        break;
    case Step::Idle:
        return;
    }
    this->channel.start(std::move(request), now, out.storeCalls);
}

void ConfigSnapshotter::handle(const StoreReply &reply, TimePoint now, ConfigActions &out)
{
    if (reply.status == StoreStatus::NoAnswer) {
        this->retryLater(now);
        return;
    }
    this->backoff.reset();
    this->failures = 0;
    switch (this->step) {
    case Step::WriteSnapshot:
        this->handleSnapshotWrite(reply);
        break;
    case Step::WriteFloor:
        this->handleFloorWrite(reply);
        break;
    case Step::ListObsolete:
        this->handleObsolete(reply);
        break;
    case Step::RemoveObsolete:
        this->handleRemoved();
        break;
    case Step::Idle:
        break;
    }
    this->startNextCall(now, out);
}

void ConfigSnapshotter::handleSnapshotWrite(const StoreReply &reply)
{
    const bool written = reply.status == StoreStatus::Ok;
    this->snapshotStoreRevision = reply.entries.empty() ? 0 : reply.entries.front().revision;
    if (!written) {
        if (reply.entries.empty())
            return;
        const auto present = parseConfigSnapshot(reply.entries.front().value);
        if (!present) {
            this->finish();
            return;
        }
        if (present->configuration.revision < this->snapshotRevision)
            return;
        // Another instance has written a newer snapshot, and may have died before it raised the
        // floor.
        this->snapshotRevision = present->configuration.revision;
    }
    this->step = this->wantedFloor() > this->knownFloor ? Step::WriteFloor : Step::ListObsolete;
}

void ConfigSnapshotter::handleFloorWrite(const StoreReply &reply)
{
    if (reply.entries.empty()) {
        this->floorStoreRevision = 0;
        return;
    }
    this->noteFloor(reply.entries.front());
    if (this->knownFloor >= this->wantedFloor())
        this->step = Step::ListObsolete;
}

void ConfigSnapshotter::handleObsolete(const StoreReply &reply)
{
    for (const StoreEntry &entry : reply.entries) {
        const auto revision = this->keys.revisionOf(entry.key);
        if (revision && *revision <= this->knownFloor)
            this->obsolete.push_back(entry);
    }
    if (this->obsolete.empty())
        this->finish();
    else
        this->step = Step::RemoveObsolete;
}

void ConfigSnapshotter::handleRemoved()
{
    this->obsolete.pop_front();
    if (this->obsolete.empty())
        this->step = Step::ListObsolete;
}

void ConfigSnapshotter::retryLater(TimePoint now)
{
    if (++this->failures >= maxFailures)
        this->finish();
    this->waitUntil = now + this->backoff.next();
}

void ConfigSnapshotter::finish()
{
    this->step = Step::Idle;
    this->snapshotText.clear();
    this->obsolete.clear();
}

std::uint64_t ConfigSnapshotter::wantedFloor() const
{
    const std::uint64_t margin = this->changesPerSnapshot;
    return this->snapshotRevision > margin ? this->snapshotRevision - margin : 0;
}

} // namespace Hibiscus
