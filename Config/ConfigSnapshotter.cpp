#include <Config/ConfigSnapshotter.h>

#include <Config/ConfigurationJson.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Hibiscus {

namespace {

constexpr std::int64_t removedAtATime = 8;
// A store that stays away gets no further tries for this snapshot; the next one removes what was
// left behind.
constexpr int largestFailures = 5;

} // namespace

ConfigSnapshotter::ConfigSnapshotter(const ConfigReplicaSettings &settings, const ConfigKeys &keys,
                                     std::uint64_t firstCall, std::uint64_t callStep)
    : keys(keys)
    , changesPerSnapshot(settings.changesPerSnapshot)
    , lane(firstCall, callStep, settings.storeTimeout)
    , backoff(settings.backoffFirst, settings.backoffLargest, settings.seed ^ 0x5eedULL)
{}

void ConfigSnapshotter::floorSeen(const StoreEntry &entry)
{
    const auto revision = revisionFromText(entry.value);
    if (!revision || entry.revision < this->floorStoreRevision)
        return;
    this->floorStoreRevision = entry.revision;
    this->knownFloor = std::max(this->knownFloor, *revision);
}

void ConfigSnapshotter::snapshotSeen(const StoreEntry &entry)
{
    // While one is being written its guard must stay what it was, or a newer snapshot would be
    // replaced by it unread.
    if (this->isIdle())
        this->snapshotStoreRevision = std::max(this->snapshotStoreRevision, entry.revision);
}

bool ConfigSnapshotter::isDue(std::uint64_t revision) const
{
    // The floor stays one snapshot's worth of changes behind the snapshot, so that a reader that
    // lags a little finds the few changes it lacks and needn't read a whole snapshot.
    return revision >= this->knownFloor + 2 * std::uint64_t(this->changesPerSnapshot);
}

void ConfigSnapshotter::start(std::uint64_t revision, std::string text, TimePoint now,
                              ConfigActions &out)
{
    assert(this->isIdle());
    this->snapshotRevision = revision;
    this->snapshotText = std::move(text);
    this->failures = 0;
    this->step = Step::SwapSnapshot;
    this->perform(now, out);
}

bool ConfigSnapshotter::storeReply(CallId call, const StoreReply &reply, TimePoint now,
                                   ConfigActions &out)
{
    if (!this->lane.take(call))
        return false;
    this->handle(reply, now, out);
    return true;
}

void ConfigSnapshotter::tick(TimePoint now, ConfigActions &out)
{
    if (this->lane.takeTimeout(now))
        this->handle(StoreReply{}, now, out);
    this->perform(now, out);
}

TimePoint ConfigSnapshotter::nextWakeup() const
{
    if (this->isIdle())
        return TimePoint::max();
    return this->lane.isBusy() ? this->lane.deadline() : this->waitUntil;
}

void ConfigSnapshotter::perform(TimePoint now, ConfigActions &out)
{
    if (this->isIdle() || this->lane.isBusy() || now < this->waitUntil)
        return;
    // Another instance may have raised the floor further while this one waited; it never falls.
    if (this->step == Step::SwapFloor && this->knownFloor >= this->wantedFloor())
        this->step = Step::ListOld;
    StoreRequest request;
    switch (this->step) {
    case Step::SwapSnapshot:
        request.verb = StoreVerb::CompareAndSwap;
        request.key = this->keys.snapshot();
        request.value = this->snapshotText;
        request.revision = this->snapshotStoreRevision;
        break;
    case Step::SwapFloor:
        request.verb = StoreVerb::CompareAndSwap;
        request.key = this->keys.floor();
        request.value = revisionToText(this->wantedFloor());
        request.revision = this->floorStoreRevision;
        break;
    case Step::ListOld:
        request.verb = StoreVerb::List;
        request.key = this->keys.change(0);
        request.end = this->keys.change(this->knownFloor + 1);
        request.limit = removedAtATime;
        break;
    case Step::RemoveOld:
        request.verb = StoreVerb::Remove;
        request.key = this->old.front().key;
        request.revision = this->old.front().revision;
        break;
    case Step::Idle:
        return;
    }
    this->lane.start(std::move(request), now, out.storeCalls);
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
    case Step::SwapSnapshot:
        this->snapshotSwapped(reply);
        break;
    case Step::SwapFloor:
        this->floorSwapped(reply);
        break;
    case Step::ListOld:
        this->oldListed(reply);
        break;
    case Step::RemoveOld:
        this->oldRemoved();
        break;
    case Step::Idle:
        break;
    }
    this->perform(now, out);
}

void ConfigSnapshotter::snapshotSwapped(const StoreReply &reply)
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
        // Another instance was here, and may have died before it raised the floor.
        this->snapshotRevision = present->configuration.revision;
    }
    this->step = this->wantedFloor() > this->knownFloor ? Step::SwapFloor : Step::ListOld;
}

void ConfigSnapshotter::floorSwapped(const StoreReply &reply)
{
    if (reply.entries.empty()) {
        this->floorStoreRevision = 0;
        return;
    }
    this->floorSeen(reply.entries.front());
    if (this->knownFloor >= this->wantedFloor())
        this->step = Step::ListOld;
}

void ConfigSnapshotter::oldListed(const StoreReply &reply)
{
    for (const StoreEntry &entry : reply.entries) {
        const auto revision = this->keys.revisionOf(entry.key);
        if (revision && *revision <= this->knownFloor)
            this->old.push_back(entry);
    }
    if (this->old.empty())
        this->finish();
    else
        this->step = Step::RemoveOld;
}

void ConfigSnapshotter::oldRemoved()
{
    this->old.pop_front();
    if (this->old.empty())
        this->step = Step::ListOld;
}

void ConfigSnapshotter::retryLater(TimePoint now)
{
    if (++this->failures >= largestFailures)
        this->finish();
    this->waitUntil = now + this->backoff.next();
}

void ConfigSnapshotter::finish()
{
    this->step = Step::Idle;
    this->snapshotText.clear();
    this->old.clear();
}

std::uint64_t ConfigSnapshotter::wantedFloor() const
{
    const std::uint64_t margin = this->changesPerSnapshot;
    return this->snapshotRevision > margin ? this->snapshotRevision - margin : 0;
}

} // namespace Hibiscus
