#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerBatch.h>
#include <Ledger/LedgerWorld.h>
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <unordered_set>

namespace Hibiscus {
namespace {

// Every order of events of two keepers of one shard, the second of which takes over at any time,
// with one answer lost (before or after its effect) and one pause. The keepers are the real ones;
// a state is reached again by repeating its events.

enum class EventKind : std::uint8_t {
    Call, ///< The store takes a keeper's next call.
    CallLostBefore,
    CallLostAfter,
    Reply, ///< A keeper gets the store's next answer.
    Message, ///< A keeper gets its next message.
    TakeOver, ///< The second keeper is told to own the shard.
    Pause,
    Resume,
    Time, ///< The clock goes on to the next wakeup of those that are not paused.
};

struct Event
{
    EventKind kind;
    char node;
};

using Path = std::vector<Event>;

/// How often each kind of fault may happen, and how many events are followed.
struct Limits
{
    int answersLost = 0;
    int pauses = 0;
    int clockSteps = 0;
    int start = 0; ///< Steps made in the usual order before.
    std::size_t depth = 0;
};

/// The world and what identifies its state: a keeper is deterministic, so the history of its
/// inputs stands for its state.
class Model
{
public:
    explicit Model(const Limits &limits)
        : left(limits)
    {
        this->world.settings.commitSpacing = Duration(0);
        this->world.settings.batchesPerSnapshot = 2;
        this->world.settings.logSlots = 8;
        this->world.start("a");
        this->world.start("b");
        this->world.own("a", true);
        while (this->world.step()) {}
        this->world.submit("x");
        this->world.sendSubmit("b", LedgerWorld::spec("x"));
        for (int i = 0; i < limits.start; ++i)
            this->world.step();
        while (this->world.stepFromKeeper()) {}
    }

    void apply(const Event &event)
    {
        const std::string name(1, event.node);
        LedgerWorld::Node &node = this->world.nodes.at(name);
        switch (event.kind) {
        case EventKind::CallLostBefore:
        case EventKind::CallLostAfter:
            --this->left.answersLost;
            this->world.store.faultsOfWrites[this->world.store.writes + 1]
                = event.kind == EventKind::CallLostBefore ? FakeStore::Fault::LostBefore
                                                          : FakeStore::Fault::LostAfter;
            [[fallthrough]];
        case EventKind::Call:
            this->call(name, node);
            break;
        case EventKind::Reply:
            this->reply(name, node);
            break;
        case EventKind::Message: {
            const auto message = this->nextMessage(name);
            const LedgerWorld::Inbound inbound = *message;
            this->world.toKeepers.erase(message);
            this->note(name, describe(inbound.message));
            this->world.atKeeper(node, inbound);
            break;
        }
        case EventKind::TakeOver:
            this->takenOver = true;
            this->note(name, "own");
            this->world.own(name, true);
            break;
        case EventKind::Pause:
            --this->left.pauses;
            node.paused = true;
            break;
        case EventKind::Resume:
            node.paused = false;
            break;
        case EventKind::Time:
            --this->left.clockSteps;
            this->tick();
            break;
        }
        while (this->world.stepFromKeeper()) {}
    }

    Path events()
    {
        Path path;
        for (auto &[name, node] : this->world.nodes) {
            const char id = name.front();
            if (node.paused) {
                path.push_back({EventKind::Resume, id});
                continue;
            }
            if (!node.calls.empty()) {
                path.push_back({EventKind::Call, id});
                const StoreVerb verb = node.calls.front().request.verb;
                if (this->left.answersLost > 0 && verb == StoreVerb::CompareAndSwap) {
                    path.push_back({EventKind::CallLostBefore, id});
                    path.push_back({EventKind::CallLostAfter, id});
                }
            }
            if (!node.replies.empty())
                path.push_back({EventKind::Reply, id});
            if (this->nextMessage(name) != this->world.toKeepers.end())
                path.push_back({EventKind::Message, id});
            if (this->left.pauses > 0)
                path.push_back({EventKind::Pause, id});
        }
        if (!this->takenOver)
            path.push_back({EventKind::TakeOver, 'b'});
        if (this->left.clockSteps > 0)
            path.push_back({EventKind::Time, 'a'});
        return path;
    }

    std::uint64_t fingerprint() const
    {
        std::string text = std::to_string(this->world.now.time_since_epoch().count());
        for (const auto &[name, history] : this->histories)
            text += ";" + name + std::to_string(history);
        for (const auto &[name, node] : this->world.nodes) {
            text += node.paused ? "p" : "r";
            for (const StoreCall &call : node.calls)
                text += call.request.key + call.request.value;
            for (const auto &[call, reply] : node.replies)
                text += describe(reply);
        }
        for (const auto &[key, entry] : this->world.store.all())
            text += std::to_string(entry.revision) + entry.value;
        for (const LedgerWorld::Inbound &inbound : this->world.toKeepers)
            text += inbound.node + describe(inbound.message);
        for (const auto &[key, asked] : this->world.dispatcher.asked)
            text += key + std::to_string(asked.first.value);
        text += std::to_string(this->world.runs.size()) + (this->takenOver ? "t" : "n")
            + std::to_string(this->left.answersLost) + std::to_string(this->left.pauses)
            + std::to_string(this->left.clockSteps);
        return XXH3_64bits(text.data(), text.size());
    }

    /// The records of the log as a reader would find them now, and whether they form one chain.
    void check()
    {
        const std::vector<LedgerRecord> records = this->records();
        std::map<std::string, int> claims;
        std::map<std::string, std::uint32_t> attempts;
        std::map<std::string, std::vector<TaskPlace>> places;
        std::map<std::string, JobAnswer> ends;
        for (const LedgerRecord &record : records) {
            if (const auto *claim = std::get_if<ClaimRecord>(&record)) {
                EXPECT_EQ(++claims[claim->key], 1) << "claimed twice";
            } else if (const auto *assign = std::get_if<AssignRecord>(&record)) {
                EXPECT_EQ(assign->attempt, attempts[assign->key]);
                EXPECT_TRUE(places[assign->key].empty()) << "assigned twice in one attempt";
                places[assign->key] = assign->places;
            } else if (const auto *given = std::get_if<UnassignRecord>(&record)) {
                attempts[given->key] = given->attempt + 1;
                places[given->key].clear();
            } else if (const auto *finish = std::get_if<FinishRecord>(&record)) {
                EXPECT_TRUE(ends.emplace(finish->key, finish->answer).second) << "ended twice";
            }
        }
        for (const auto &[key, answers] : this->world.answers) {
            for (const JobAnswer &answer : answers) {
                // A refusal answers one submission; that of the same key elsewhere may go on.
                const bool refused = answer.status == JobStatus::NotRun && answer.retryAfter;
                if (refused)
                    continue;
                const bool known = claims.contains(key) || ends.contains(key);
                EXPECT_TRUE(answer.status == JobStatus::Unknown || known) << "accepted, lost";
                const bool recorded = ends.contains(key) && ends.at(key) == answer;
                EXPECT_TRUE(!isFinal(answer.status) || recorded) << "end told, not recorded";
            }
        }
        for (const auto &[key, runs] : this->world.runs) {
            EXPECT_LE(runs, 1) << "ran twice";
            EXPECT_TRUE(ends.contains(key) || !places[key].empty()) << "ran without a record";
        }
    }

    /// Without further faults every job ends, once.
    void checkEnd()
    {
        for (auto &[name, node] : this->world.nodes)
            node.paused = false;
        this->world.run(seconds(60));
        EXPECT_TRUE(this->world.open.empty()) << "never answered";
        this->check();
    }

private:
    /// What was read can be late only in being acted on, and every write of a keeper may be late:
    /// so a read and its answer are one event.
    void call(const std::string &name, LedgerWorld::Node &node)
    {
        const bool writes = node.calls.front().request.verb == StoreVerb::CompareAndSwap;
        this->world.makeCall(node);
        if (!writes)
            this->reply(name, node);
    }

    void reply(const std::string &name, LedgerWorld::Node &node)
    {
        this->note(name, describe(node.replies.front().second));
        this->world.deliverReply(node);
    }

    static std::string describe(const StoreReply &reply)
    {
        std::string text = std::to_string(static_cast<int>(reply.status));
        for (const StoreEntry &entry : reply.entries)
            text += entry.key + std::to_string(entry.revision) + entry.value;
        return text;
    }

    static std::string describe(const PeerMessage &message)
    {
        std::string text = std::to_string(message.index());
        if (const auto *assign = std::get_if<AssignJob>(&message)) {
            text += std::to_string(assign->call.value) + "/" + std::to_string(assign->attempt);
            for (const TaskPlace &place : assign->places)
                text += place.worker;
        } else if (const auto *update = std::get_if<JobUpdate>(&message)) {
            text += std::to_string(update->call.value) + toString(update->answer.status);
        }
        return text;
    }

    std::deque<LedgerWorld::Inbound>::iterator nextMessage(const std::string &node)
    {
        return std::find_if(
            this->world.toKeepers.begin(), this->world.toKeepers.end(),
            [&node](const LedgerWorld::Inbound &inbound) { return inbound.node == node; });
    }

    void note(const std::string &node, const std::string &input)
    {
        const std::string text = std::to_string(this->histories[node]) + input
            + std::to_string(this->world.now.time_since_epoch().count());
        this->histories[node] = XXH3_64bits(text.data(), text.size());
    }

    void tick()
    {
        TimePoint next = this->world.now + seconds(1);
        for (const auto &[name, node] : this->world.nodes) {
            if (!node.paused)
                next = std::min(next, node.keeper->nextWakeup());
        }
        this->world.now = std::max(next, this->world.now + Duration(1));
        for (auto &[name, node] : this->world.nodes) {
            if (node.paused)
                continue;
            this->note(name, "tick");
            this->world.act(node, [this](JobKeeper &keeper, KeeperActions &out) {
                keeper.tick(this->world.now, out);
            });
        }
    }

    std::vector<LedgerRecord> records() const
    {
        std::vector<LedgerRecord> records;
        std::map<std::uint64_t, LedgerBatch> batches;
        std::uint64_t covered = 0;
        for (const auto &[key, entry] : this->world.store.all()) {
            LedgerBatch batch = decodeBatch(entry.value, key).value();
            if (key.ends_with("snapshot")) {
                covered = batch.sequence;
                records = batch.records;
            } else {
                batches.emplace(batch.sequence, std::move(batch));
            }
        }
        WriterId writer;
        for (const auto &[sequence, batch] : batches) {
            EXPECT_TRUE(batches.begin()->first == sequence || batches.contains(sequence - 1));
            const bool epoch = std::holds_alternative<EpochRecord>(batch.records.front());
            EXPECT_TRUE(sequence == batches.begin()->first || epoch
                        || batch.writer.instance == writer.instance)
                << "a writer without an epoch";
            writer = batch.writer;
            if (sequence > covered)
                records.insert(records.end(), batch.records.begin(), batch.records.end());
        }
        return records;
    }

    LedgerWorld world;
    std::map<std::string, std::uint64_t> histories;
    Limits left;
    bool takenOver = false;
};

/// A state by the events that lead to it, with those that may follow.
struct Reached
{
    Path path;
    Path events;
};

/// Sums over all starting points.
struct Explored
{
    std::size_t states = 0;
    std::size_t transitions = 0;
    std::size_t ends = 0;
};

void explore(const Limits &limits, Explored &sum)
{
    constexpr std::size_t endsEvery = 20;
    std::unordered_set<std::uint64_t> seen;
    std::deque<Reached> frontier{{Path{}, Model(limits).events()}};
    while (!frontier.empty()) {
        const Reached from = std::move(frontier.front());
        frontier.pop_front();
        for (const Event &event : from.events) {
            Path path = from.path;
            path.push_back(event);
            Model model(limits);
            for (const Event &earlier : path)
                model.apply(earlier);
            ++sum.transitions;
            if (!seen.insert(model.fingerprint()).second)
                continue;
            ++sum.states;
            model.check();
            if (path.size() < limits.depth)
                frontier.push_back({path, model.events()});
            if (sum.states % endsEvery == 0) {
                ++sum.ends;
                model.checkEnd();
            }
            ASSERT_FALSE(testing::Test::HasFailure())
                << "after " << path.size() << " events from step " << limits.start;
        }
    }
}

TEST(LedgerModelTest, noOrderOfEventsOfTwoWritersLosesOrDoubles)
{
    // Everything that one job passes through is a starting point; from each, all orders.
    constexpr int lastStart = 16;
    Explored sum;
    for (int start = 0; start <= lastStart; start += 2) {
        explore({.answersLost = 1, .pauses = 1, .clockSteps = 3, .start = start, .depth = 7}, sum);
        ASSERT_FALSE(HasFailure());
    }
    std::printf("states visited: %zu, transitions: %zu, run on to their ends: %zu\n"
                "checked in each: a key is claimed once, assigned once an attempt, ended once; "
                "every answer was recorded before it was told; a job ran at most once and where "
                "recorded; batches form one chain and a new writer starts with its epoch\n",
                sum.states, sum.transitions, sum.ends);
    EXPECT_GT(sum.states, 10000U);
}

} // namespace
} // namespace Hibiscus
