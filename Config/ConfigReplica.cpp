#include <Config/ConfigReplica.h>

#include <Config/Backoff.h>
#include <Config/ConfigKeys.h>
#include <Config/ConfigReader.h>
#include <Config/ConfigSnapshotter.h>
#include <Config/ConfigState.h>
#include <Config/ConfigurationRules.h>
#include <Config/StoreChannel.h>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Hibiscus {

namespace {

// Two store channels share the replica's call ids. Odd ids read and create changes, even ids write
// snapshots, so that an operator's change never waits for the removal of old keys.
constexpr std::uint64_t callStep = 2;
constexpr std::uint64_t firstMainCall = 1;
constexpr std::uint64_t firstSnapshotCall = 2;

// Makes the random delays of the watch differ from those of other retries.
constexpr std::uint64_t watchSeed = 0x9e3779b97f4a7c15ULL;

constexpr std::size_t maxPendingChanges = 64;
constexpr int maxCreateAttempts = 16;
constexpr std::size_t maxOutOfOrderChanges = 256;
// The instance that made the last change writes the snapshot. A watching instance writes it only if
// none has been written after this delay.
constexpr Duration snapshotTakeoverDelay = seconds(20);
// After a relay that leaves a gap, the store is read at the latest after this delay.
constexpr Duration gapPollDelay = seconds(1);

} // namespace

struct ConfigReplica::Data
{
    /// A change by an operator that is not answered yet.
    struct Pending
    {
        CallId call;
        ConfigChange change;
        TimePoint deadline;
        int attempts = 0;
        bool readBegun = false; ///< A round of reading has begun since the change was submitted.
        bool upToDate = false; ///< That round has ended, so the change may be refused.
        std::uint64_t uncertainRevision = 0; ///< Revision of a create with unknown outcome.
    };

    /// The create call that is in flight in the main channel.
    struct Write
    {
        CallId pending;
        std::uint64_t revision = 0;
        std::string text;
    };

    enum class Step : std::uint8_t { Idle, Read, Create, Confirm };

    explicit Data(const ConfigReplicaSettings &given)
        : settings(given)
        , keys(given.prefix)
        , reader(this->keys)
        , channel(firstMainCall, callStep, given.storeTimeout)
        , backoff(given.backoffFirst, given.backoffLargest, given.seed)
        , watchBackoff(given.backoffFirst, given.backoffLargest, given.seed ^ watchSeed)
        , snapshotter(given, this->keys, firstSnapshotCall, callStep)
    {}

    /// Starts all work that is possible now. Called at the end of every event.
    void advance(TimePoint now, ConfigActions &out);
    void handleMainReply(const StoreReply &reply, TimePoint now, ConfigActions &out);

    void beginRead(TimePoint now, ConfigActions &out);
    void readReply(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void readDone(TimePoint now, ConfigActions &out);
    void createReply(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void confirmReply(const StoreReply &reply, TimePoint now);
    void writeUncertain(TimePoint now);
    void waitAfterFailure(TimePoint now) { this->waitUntil = now + this->backoff.next(); }

    /// Performs the next step of the first pending change: answers, writes or reads.
    void workOnChange(TimePoint now, ConfigActions &out);
    void create(Pending &pending, TimePoint now, ConfigActions &out);
    /// Answers with `reply` if the state is new enough to refuse the change; otherwise reads first.
    void refuse(Pending &pending, const ChangeReply &reply, ConfigActions &out);
    void answerApplied(ConfigActions &out);
    void answerFirst(const ChangeReply &reply, ConfigActions &out);
    void expireChanges(TimePoint now, ConfigActions &out);

    void applyWatched(const StoreEntry &entry);
    void applyOutOfOrder();
    void startDueSnapshot(TimePoint now, ConfigActions &out);

    Duration pollInterval();

    ConfigReplicaSettings settings;
    ConfigKeys keys;
    ConfigState state;
    std::vector<DataCenterCells> fleet;

    ConfigReader reader;
    StoreChannel channel;
    Backoff backoff;
    Backoff watchBackoff; ///< Delays reopening a broken watch; reset when a watch reports changes.
    Step step = Step::Idle;
    TimePoint waitUntil; ///< Earliest time of the next call in the main channel.
    bool readWanted = false;
    TimePoint nextPoll;
    bool watching = false;
    bool watchWanted = false;
    std::deque<Pending> pending;
    Write write;
    std::map<std::uint64_t, std::string> outOfOrder; ///< Relayed changes after a gap, by revision.

    ConfigSnapshotter snapshotter;
    bool madeLastChange = false;
    std::optional<TimePoint> snapshotAt;
};

void ConfigReplica::Data::advance(TimePoint now, ConfigActions &out)
{
    this->applyOutOfOrder();
    this->answerApplied(out);
    this->expireChanges(now, out);
    this->snapshotter.tick(now, out);
    this->startDueSnapshot(now, out);
    if (now >= this->nextPoll)
        this->readWanted = true;
    while (!this->channel.isBusy() && now >= this->waitUntil) {
        if (this->readWanted)
            this->beginRead(now, out);
        else if (this->pending.empty())
            return;
        else
            this->workOnChange(now, out);
    }
}

void ConfigReplica::Data::handleMainReply(const StoreReply &reply, TimePoint now,
                                          ConfigActions &out)
{
    switch (std::exchange(this->step, Step::Idle)) {
    case Step::Read:
        this->readReply(reply, now, out);
        break;
    case Step::Create:
        this->createReply(reply, now, out);
        break;
    case Step::Confirm:
        this->confirmReply(reply, now);
        break;
    case Step::Idle:
        break;
    }
}

void ConfigReplica::Data::beginRead(TimePoint now, ConfigActions &out)
{
    for (Pending &change : this->pending)
        change.readBegun = true;
    this->reader.begin();
    this->step = Step::Read;
    this->channel.start(this->reader.request(this->state), now, out.storeCalls);
}

void ConfigReplica::Data::readReply(const StoreReply &reply, TimePoint now, ConfigActions &out)
{
    const ConfigReader::Outcome outcome = this->reader.reply(reply, this->state);
    if (this->reader.floorEntry())
        this->snapshotter.noteFloor(*this->reader.floorEntry());
    switch (outcome) {
    case ConfigReader::Outcome::Continue:
        this->step = Step::Read;
        this->channel.start(this->reader.request(this->state), now, out.storeCalls);
        break;
    case ConfigReader::Outcome::Done:
        this->readDone(now, out);
        break;
    case ConfigReader::Outcome::Failed:
        this->waitAfterFailure(now);
        break;
    }
}

void ConfigReplica::Data::readDone(TimePoint now, ConfigActions &out)
{
    this->backoff.reset();
    this->readWanted = false;
    this->nextPoll = now + this->backoff.jittered(this->pollInterval());
    for (Pending &change : this->pending)
        change.upToDate = change.readBegun;
    if (this->watchWanted)
        out.watchFrom = this->reader.listedAt() + 1;
    this->watchWanted = false;
}

void ConfigReplica::Data::createReply(const StoreReply &reply, TimePoint now, ConfigActions &out)
{
    if (reply.status == StoreStatus::NoAnswer) {
        this->writeUncertain(now);
        return;
    }
    if (reply.status == StoreStatus::Conflict) {
        this->readWanted = true;
        return;
    }
    // This instance may have been paused for so long that another instance has made this revision
    // and its key is already removed. Reading the floor detects that.
    StoreRequest request;
    request.verb = StoreVerb::Get;
    request.key = this->keys.floor();
    this->step = Step::Confirm;
    this->channel.start(std::move(request), now, out.storeCalls);
}

void ConfigReplica::Data::confirmReply(const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        this->writeUncertain(now);
        return;
    }
    this->backoff.reset();
    if (!reply.entries.empty())
        this->snapshotter.noteFloor(reply.entries.front());
    const bool inForce = this->snapshotter.floor() < this->write.revision;
    if (!inForce) {
        this->readWanted = true;
        return;
    }
    if (this->write.revision == this->state.revision() + 1)
        this->state.apply(this->write.text);
    this->madeLastChange = this->write.revision == this->state.revision();
}

void ConfigReplica::Data::writeUncertain(TimePoint now)
{
    this->readWanted = true;
    this->waitAfterFailure(now);
    if (!this->pending.empty() && this->pending.front().call == this->write.pending)
        this->pending.front().uncertainRevision = this->write.revision;
}

void ConfigReplica::Data::workOnChange(TimePoint now, ConfigActions &out)
{
    Pending &first = this->pending.front();
    const std::uint64_t revision = this->state.revision();
    // The last write of this change may still take effect, so the change can't be refused.
    if (first.uncertainRevision == revision + 1) {
        this->create(first, now, out);
        return;
    }
    const std::uint64_t basedOn = first.change.basedOn.value_or(revision);
    if (basedOn < revision) {
        this->refuse(first, {ChangeStatus::Conflict, revision, {}}, out);
        return;
    }
    const auto after = applyChange(this->state.current(), first.change, this->fleet);
    ChangeReply invalid{ChangeStatus::Invalid, revision, {}};
    if (basedOn > revision)
        invalid.findings.add("/basedOn", "there is no such revision");
    if (!after)
        invalid.findings.append(after.error());
    if (invalid.findings.isEmpty())
        this->create(first, now, out);
    else
        this->refuse(first, invalid, out);
}

void ConfigReplica::Data::create(Pending &pending, TimePoint now, ConfigActions &out)
{
    if (++pending.attempts > maxCreateAttempts) {
        this->answerFirst({ChangeStatus::Unavailable, 0, {}}, out);
        return;
    }
    const std::uint64_t revision = this->state.revision() + 1;
    this->write = {pending.call, revision, toJson(ChangeRecord{revision, pending.change})};
    StoreRequest request;
    request.verb = StoreVerb::CompareAndSwap;
    request.key = this->keys.change(revision);
    request.value = this->write.text;
    this->step = Step::Create;
    this->channel.start(std::move(request), now, out.storeCalls);
}

void ConfigReplica::Data::refuse(Pending &pending, const ChangeReply &reply, ConfigActions &out)
{
    if (pending.upToDate)
        this->answerFirst(reply, out);
    else
        this->readWanted = true;
}

void ConfigReplica::Data::answerApplied(ConfigActions &out)
{
    const auto answer = [&](const Pending &change) {
        const auto revision = this->state.revisionOf(change.change.changeId);
        if (revision)
            out.answers.push_back({change.call, {ChangeStatus::Accepted, *revision, {}}});
        return revision.has_value();
    };
    std::erase_if(this->pending, answer);
}

void ConfigReplica::Data::answerFirst(const ChangeReply &reply, ConfigActions &out)
{
    out.answers.push_back({this->pending.front().call, reply});
    this->pending.pop_front();
}

void ConfigReplica::Data::expireChanges(TimePoint now, ConfigActions &out)
{
    // Changes are queued in order of arrival, so their deadlines are in ascending order.
    while (!this->pending.empty() && now >= this->pending.front().deadline)
        this->answerFirst({ChangeStatus::Unavailable, 0, {}}, out);
}

void ConfigReplica::Data::applyWatched(const StoreEntry &entry)
{
    if (entry.key == this->keys.floor()) {
        this->snapshotter.noteFloor(entry);
        if (this->snapshotter.floor() > this->state.revision())
            this->readWanted = true;
        return;
    }
    if (entry.key == this->keys.snapshot()) {
        this->snapshotter.noteSnapshot(entry);
        this->state.adopt(entry.value);
        return;
    }
    const auto revision = this->keys.revisionOf(entry.key);
    if (!revision || *revision <= this->state.revision())
        return;
    // A key that was created again after its removal is reported after the floor that allowed the
    // removal.
    const bool isAboveFloor = *revision > this->snapshotter.floor();
    const bool isNext = *revision == this->state.revision() + 1;
    if (isAboveFloor && isNext && this->state.apply(entry.value))
        return;
    this->readWanted = true;
}

void ConfigReplica::Data::applyOutOfOrder()
{
    while (!this->outOfOrder.empty()
           && this->outOfOrder.begin()->first <= this->state.revision() + 1) {
        const auto first = this->outOfOrder.extract(this->outOfOrder.begin());
        if (first.key() == this->state.revision() + 1)
            this->state.apply(first.mapped());
    }
}

void ConfigReplica::Data::startDueSnapshot(TimePoint now, ConfigActions &out)
{
    const bool madeLatest = std::exchange(this->madeLastChange, false);
    const bool isDue = this->snapshotter.isIdle() && this->snapshotter.isDue(this->state.revision())
        && (this->watching || madeLatest);
    if (!isDue) {
        this->snapshotAt.reset();
        return;
    }
    if (madeLatest)
        this->snapshotAt = now;
    else if (!this->snapshotAt)
        this->snapshotAt = now + this->backoff.jittered(snapshotTakeoverDelay);
    if (now < *this->snapshotAt)
        return;
    this->snapshotAt.reset();
    this->snapshotter.start(this->state.revision(), this->state.snapshotText(), now, out);
}

Duration ConfigReplica::Data::pollInterval()
{
    return this->watching ? this->settings.watchedPollInterval : this->settings.pollInterval;
}

ConfigReplica::ConfigReplica(const ConfigReplicaSettings &settings)
    : data(std::make_unique<Data>(settings))
{}

ConfigReplica::~ConfigReplica() = default;
ConfigReplica::ConfigReplica(ConfigReplica &&) noexcept = default;
ConfigReplica &ConfigReplica::operator=(ConfigReplica &&) noexcept = default;

namespace {

/// Sets `changed` in the actions if the configuration's revision rises during this object's
/// lifetime.
class ChangeNotice
{
public:
    ChangeNotice(const Configuration &configuration, ConfigActions &out)
        : configuration(configuration)
        , before(configuration.revision)
        , out(out)
    {}
    ~ChangeNotice()
    {
        if (this->configuration.revision > this->before)
            this->out.changed = true;
    }
    ChangeNotice(const ChangeNotice &) = delete;
    ChangeNotice &operator=(const ChangeNotice &) = delete;

private:
    const Configuration &configuration;
    std::uint64_t before;
    ConfigActions &out;
};

} // namespace

void ConfigReplica::setWatching(bool watching, TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (watching != this->data->watching) {
        this->data->watching = watching;
        this->data->watchWanted = watching;
        this->data->readWanted = this->data->readWanted || watching;
    }
    this->data->advance(now, out);
}

void ConfigReplica::setFleet(std::vector<DataCenterCells> fleet)
{
    this->data->fleet = std::move(fleet);
}

void ConfigReplica::submitChange(CallId call, const ConfigChange &change, TimePoint now,
                                 ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (this->data->pending.size() >= maxPendingChanges) {
        out.answers.push_back({call, {ChangeStatus::Unavailable, 0, {}}});
        return;
    }
    const TimePoint deadline = now + this->data->settings.changeTimeout;
    this->data->pending.push_back({call, change, deadline});
    this->data->advance(now, out);
}

void ConfigReplica::storeReply(CallId call, const StoreReply &reply, TimePoint now,
                               ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (this->data->channel.acceptReply(call))
        this->data->handleMainReply(reply, now, out);
    else
        this->data->snapshotter.storeReply(call, reply, now, out);
    this->data->advance(now, out);
}

void ConfigReplica::watchBatch(const StoreWatchBatch &batch, TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    this->data->watchBackoff.reset();
    for (const StoreEntry &entry : batch.written)
        this->data->applyWatched(entry);
    this->data->advance(now, out);
}

void ConfigReplica::watchBroken(TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (this->data->watching) {
        const Duration wait = this->data->watchBackoff.next();
        this->data->watchWanted = true;
        this->data->nextPoll = std::min(this->data->nextPoll, now + wait);
    }
    this->data->advance(now, out);
}

ConfigReplica::Relay ConfigReplica::relayAfter(std::uint64_t afterRevision) const
{
    return this->data->state.relayAfter(afterRevision);
}

void ConfigReplica::relayed(const Relay &relay, TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (relay.snapshotRevision > this->current().revision)
        this->data->state.adopt(relay.snapshot);
    std::uint64_t revision = relay.firstRevision;
    for (const std::string &text : relay.changes) {
        const std::uint64_t next = this->current().revision + 1;
        if (revision == next)
            this->data->state.apply(text);
        else if (revision > next && this->data->outOfOrder.size() < maxOutOfOrderChanges)
            this->data->outOfOrder.emplace(revision, text);
        ++revision;
    }
    this->data->applyOutOfOrder();
    if (!this->data->outOfOrder.empty())
        this->data->nextPoll = std::min(this->data->nextPoll, now + gapPollDelay);
    this->data->advance(now, out);
}

void ConfigReplica::tick(TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (this->data->channel.expire(now))
        this->data->handleMainReply(StoreReply{}, now, out);
    this->data->advance(now, out);
}

TimePoint ConfigReplica::nextWakeup() const
{
    const Data &data = *this->data;
    TimePoint wakeup = data.snapshotter.nextWakeup();
    if (data.snapshotAt)
        wakeup = std::min(wakeup, *data.snapshotAt);
    if (!data.pending.empty())
        wakeup = std::min(wakeup, data.pending.front().deadline);
    if (data.channel.isBusy())
        return std::min(wakeup, data.channel.deadline());
    const bool hasWork = data.readWanted || !data.pending.empty();
    return std::min(wakeup, hasWork ? data.waitUntil : std::max(data.nextPoll, data.waitUntil));
}

const Configuration &ConfigReplica::current() const
{
    return this->data->state.current();
}

} // namespace Hibiscus
