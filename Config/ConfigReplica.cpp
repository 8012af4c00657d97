#include <Config/ConfigReplica.h>

#include <Config/Backoff.h>
#include <Config/ConfigKeys.h>
#include <Config/ConfigReader.h>
#include <Config/ConfigSnapshotter.h>
#include <Config/ConfigState.h>
#include <Config/ConfigurationRules.h>
#include <Config/StoreLane.h>

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace Hibiscus {

namespace {

// Two lanes of calls share the keeper's ids: odd ones follow and change, even ones write
// snapshots, so that an operator never waits behind the removal of old keys.
constexpr std::uint64_t callStep = 2;
constexpr std::uint64_t firstMainCall = 1;
constexpr std::uint64_t firstSnapshotCall = 2;

// Keeps the two rows of random waits apart.
constexpr std::uint64_t watchSeed = 0x9e3779b97f4a7c15ULL;

constexpr std::size_t largestQueue = 64;
constexpr int largestAttempts = 16;
constexpr std::size_t largestEarlyRelays = 256;
// An instance that watches but did not make the last change leaves the snapshot to the one that
// did, and steps in after this if nothing came of it.
constexpr Duration snapshotPatience = seconds(20);
// A relay that leaves a gap makes the next look at the store come at the latest after this.
constexpr Duration gapPoll = seconds(1);

} // namespace

struct ConfigReplica::Data
{
    /// One operator's change that has no answer yet.
    struct Pending
    {
        CallId call;
        ConfigChange change;
        TimePoint deadline;
        int attempts = 0;
        bool readBegun = false; ///< A round of reading has begun since it came.
        bool upToDate = false; ///< And has ended: a refusal would be the truth.
        std::uint64_t uncertainRevision = 0; ///< Written as this one, with no answer.
    };

    /// The create that the main lane is busy with.
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
        , lane(firstMainCall, callStep, given.storeTimeout)
        , backoff(given.backoffFirst, given.backoffLargest, given.seed)
        , watchBackoff(given.backoffFirst, given.backoffLargest, given.seed ^ watchSeed)
        , snapshotter(given, this->keys, firstSnapshotCall, callStep)
    {}

    /// Does what can be done now. Called at the end of every event.
    void advance(TimePoint now, ConfigActions &out);
    void mainReply(const StoreReply &reply, TimePoint now, ConfigActions &out);

    void beginRead(TimePoint now, ConfigActions &out);
    void readReply(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void readDone(TimePoint now, ConfigActions &out);
    void createReply(const StoreReply &reply, TimePoint now, ConfigActions &out);
    void confirmReply(const StoreReply &reply, TimePoint now);
    void writeUncertain(TimePoint now);
    void waitAfterFailure(TimePoint now) { this->waitUntil = now + this->backoff.next(); }

    /// Moves the first pending change on by one step: an answer, a write or a read.
    void workOnChange(TimePoint now, ConfigActions &out);
    void create(Pending &pending, TimePoint now, ConfigActions &out);
    /// Answers so if the state is new enough to tell, and otherwise has it read first.
    void refuse(Pending &pending, const ChangeReply &reply, ConfigActions &out);
    void answerApplied(ConfigActions &out);
    void answerFirst(const ChangeReply &reply, ConfigActions &out);
    void expireChanges(TimePoint now, ConfigActions &out);

    void applyWatched(const StoreEntry &entry);
    void applyEarly();
    void considerSnapshot(TimePoint now, ConfigActions &out);

    Duration pollInterval();

    ConfigReplicaSettings settings;
    ConfigKeys keys;
    ConfigState state;
    std::vector<DataCenterCells> fleet;

    ConfigReader reader;
    StoreLane lane;
    Backoff backoff;
    Backoff watchBackoff; ///< Between a watch that broke and the next; reset by what it brings.
    Step step = Step::Idle;
    TimePoint waitUntil; ///< No call in the main lane before.
    bool readWanted = false;
    TimePoint nextPoll;
    bool watching = false;
    bool watchWanted = false;
    std::deque<Pending> pending;
    Write write;
    std::map<std::uint64_t, std::string> early; ///< Relayed changes behind a gap.

    ConfigSnapshotter snapshotter;
    bool madeLastChange = false;
    std::optional<TimePoint> snapshotAt;
};

void ConfigReplica::Data::advance(TimePoint now, ConfigActions &out)
{
    this->applyEarly();
    this->answerApplied(out);
    this->expireChanges(now, out);
    this->snapshotter.tick(now, out);
    this->considerSnapshot(now, out);
    if (now >= this->nextPoll)
        this->readWanted = true;
    while (!this->lane.isBusy() && now >= this->waitUntil) {
        if (this->readWanted)
            this->beginRead(now, out);
        else if (this->pending.empty())
            return;
        else
            this->workOnChange(now, out);
    }
}

void ConfigReplica::Data::mainReply(const StoreReply &reply, TimePoint now, ConfigActions &out)
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
    this->lane.start(this->reader.request(this->state), now, out.storeCalls);
}

void ConfigReplica::Data::readReply(const StoreReply &reply, TimePoint now, ConfigActions &out)
{
    const ConfigReader::Outcome outcome = this->reader.reply(reply, this->state);
    if (this->reader.floorEntry())
        this->snapshotter.floorSeen(*this->reader.floorEntry());
    switch (outcome) {
    case ConfigReader::Outcome::Continue:
        this->step = Step::Read;
        this->lane.start(this->reader.request(this->state), now, out.storeCalls);
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
    // This instance may have been paused so long that another one's change of this revision was
    // in force and its key already removed. The floor tells.
    StoreRequest request;
    request.verb = StoreVerb::Get;
    request.key = this->keys.floor();
    this->step = Step::Confirm;
    this->lane.start(std::move(request), now, out.storeCalls);
}

void ConfigReplica::Data::confirmReply(const StoreReply &reply, TimePoint now)
{
    if (reply.status != StoreStatus::Ok) {
        this->writeUncertain(now);
        return;
    }
    this->backoff.reset();
    if (!reply.entries.empty())
        this->snapshotter.floorSeen(reply.entries.front());
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
    // As long as the last write of this change may still take effect, no refusal would be true.
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
    if (++pending.attempts > largestAttempts) {
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
    this->lane.start(std::move(request), now, out.storeCalls);
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
    // They stand in the order in which they came, so their deadlines rise.
    while (!this->pending.empty() && now >= this->pending.front().deadline)
        this->answerFirst({ChangeStatus::Unavailable, 0, {}}, out);
}

void ConfigReplica::Data::applyWatched(const StoreEntry &entry)
{
    if (entry.key == this->keys.floor()) {
        this->snapshotter.floorSeen(entry);
        if (this->snapshotter.floor() > this->state.revision())
            this->readWanted = true;
        return;
    }
    if (entry.key == this->keys.snapshot()) {
        this->snapshotter.snapshotSeen(entry);
        this->state.adopt(entry.value);
        return;
    }
    const auto revision = this->keys.revisionOf(entry.key);
    if (!revision || *revision <= this->state.revision())
        return;
    // A key that was created anew after its removal comes behind the floor that allowed it.
    const bool isTrue = *revision > this->snapshotter.floor();
    const bool isNext = *revision == this->state.revision() + 1;
    if (isTrue && isNext && this->state.apply(entry.value))
        return;
    this->readWanted = true;
}

void ConfigReplica::Data::applyEarly()
{
    while (!this->early.empty() && this->early.begin()->first <= this->state.revision() + 1) {
        const auto first = this->early.extract(this->early.begin());
        if (first.key() == this->state.revision() + 1)
            this->state.apply(first.mapped());
    }
}

void ConfigReplica::Data::considerSnapshot(TimePoint now, ConfigActions &out)
{
    const bool madeIt = std::exchange(this->madeLastChange, false);
    const bool isDue = this->snapshotter.isIdle() && this->snapshotter.isDue(this->state.revision())
        && (this->watching || madeIt);
    if (!isDue) {
        this->snapshotAt.reset();
        return;
    }
    if (madeIt)
        this->snapshotAt = now;
    else if (!this->snapshotAt)
        this->snapshotAt = now + this->backoff.jittered(snapshotPatience);
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

/// Reports in the actions whether a configuration became newer while this object lived.
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
    if (this->data->pending.size() >= largestQueue) {
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
    if (this->data->lane.take(call))
        this->data->mainReply(reply, now, out);
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
        else if (revision > next && this->data->early.size() < largestEarlyRelays)
            this->data->early.emplace(revision, text);
        ++revision;
    }
    this->data->applyEarly();
    if (!this->data->early.empty())
        this->data->nextPoll = std::min(this->data->nextPoll, now + gapPoll);
    this->data->advance(now, out);
}

void ConfigReplica::tick(TimePoint now, ConfigActions &out)
{
    const ChangeNotice notice(this->current(), out);
    if (this->data->lane.takeTimeout(now))
        this->data->mainReply(StoreReply{}, now, out);
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
    if (data.lane.isBusy())
        return std::min(wakeup, data.lane.deadline());
    const bool hasWork = data.readWanted || !data.pending.empty();
    return std::min(wakeup, hasWork ? data.waitUntil : std::max(data.nextPoll, data.waitUntil));
}

const Configuration &ConfigReplica::current() const
{
    return this->data->state.current();
}

} // namespace Hibiscus
