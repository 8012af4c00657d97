#include <Ledger/JobKeeper.h>
#include <Ledger/LedgerBatch.h>
#include <Ledger/LedgerSimulation.h>
#include <gtest/gtest.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstdio>
#include <unordered_set>

namespace Hibiscus {
namespace {

// Explores all orders of events of two keepers of one shard up to a bounded depth. The second
// keeper takes over at any time; one request or answer is lost and one keeper is paused. The test
// runs the production keepers and reaches each state by replaying its events.

enum class EventKind : std::uint8_t {
    Call, ///< The store executes a keeper's next call.
    CallLostBefore,
    CallLostAfter,
    Reply, ///< A keeper receives the store's next reply.
    Message, ///< A keeper receives its next message.
    TakeOver, ///< The second keeper starts to acquire the shard.
    Pause,
    Resume,
    AdvanceClock, ///< The clock advances to the next wakeup of a running keeper.
};

struct Event
{
    EventKind kind;
    char node;
};

using Path = std::vector<Event>;

/// Limits of the exploration: remaining faults of each kind, and the number of events.
struct Limits
{
    int answersLost = 0;
    int pauses = 0;
    int clockSteps = 0;
    int start = 0; ///< Steps made in the fixed order before the exploration starts.
    std::size_t depth = 0;
};

/// The simulation and a fingerprint of its state. A keeper is deterministic, so a hash of its
/// inputs identifies its state.
class Model
{
public:
    explicit Model(const Limits &limits)
        : remaining(limits)
    {
        this->simulation.settings.commitSpacing = Duration(0);
        this->simulation.settings.batchesPerSnapshot = 2;
        this->simulation.settings.logSlots = 8;
        this->simulation.start("a");
        this->simulation.start("b");
        this->simulation.setOwned("a", true);
        while (this->simulation.step()) {}
        this->simulation.submit("x");
        this->simulation.sendSubmit("b", LedgerSimulation::spec("x"));
        for (int i = 0; i < limits.start; ++i)
            this->simulation.step();
        while (this->simulation.stepFromKeeper()) {}
    }

    void apply(const Event &event)
    {
        const std::string name(1, event.node);
        LedgerSimulation::Node &node = this->simulation.nodes.at(name);
        switch (event.kind) {
        case EventKind::CallLostBefore:
        case EventKind::CallLostAfter:
            --this->remaining.answersLost;
            this->simulation.store.faultsOfWrites[this->simulation.store.writes + 1]
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
            const LedgerSimulation::Inbound inbound = *message;
            this->simulation.toKeepers.erase(message);
            this->recordInput(name, describe(inbound.message));
            this->simulation.deliverToKeeper(node, inbound);
            break;
        }
        case EventKind::TakeOver:
            this->takenOver = true;
            this->recordInput(name, "own");
            this->simulation.setOwned(name, true);
            break;
        case EventKind::Pause:
            --this->remaining.pauses;
            node.paused = true;
            break;
        case EventKind::Resume:
            node.paused = false;
            break;
        case EventKind::AdvanceClock:
            --this->remaining.clockSteps;
            this->tick();
            break;
        }
        while (this->simulation.stepFromKeeper()) {}
    }

    Path events()
    {
        Path path;
        for (auto &[name, node] : this->simulation.nodes) {
            const char id = name.front();
            if (node.paused) {
                path.push_back({EventKind::Resume, id});
                continue;
            }
            if (!node.calls.empty()) {
                path.push_back({EventKind::Call, id});
                const StoreVerb verb = node.calls.front().request.verb;
                if (this->remaining.answersLost > 0 && verb == StoreVerb::CompareAndSwap) {
                    path.push_back({EventKind::CallLostBefore, id});
                    path.push_back({EventKind::CallLostAfter, id});
                }
            }
            if (!node.replies.empty())
                path.push_back({EventKind::Reply, id});
            if (this->nextMessage(name) != this->simulation.toKeepers.end())
                path.push_back({EventKind::Message, id});
            if (this->remaining.pauses > 0)
                path.push_back({EventKind::Pause, id});
        }
        if (!this->takenOver)
            path.push_back({EventKind::TakeOver, 'b'});
        if (this->remaining.clockSteps > 0)
            path.push_back({EventKind::AdvanceClock, 'a'});
        return path;
    }

    std::uint64_t fingerprint() const
    {
        std::string text = std::to_string(this->simulation.now.time_since_epoch().count());
        for (const auto &[name, history] : this->histories)
            text += ";" + name + std::to_string(history);
        for (const auto &[name, node] : this->simulation.nodes) {
            text += node.paused ? "p" : "r";
            for (const StoreCall &call : node.calls)
                text += call.request.key + call.request.value;
            for (const auto &[call, reply] : node.replies)
                text += describe(reply);
        }
        for (const auto &[key, entry] : this->simulation.store.all())
            text += std::to_string(entry.revision) + entry.value;
        for (const LedgerSimulation::Inbound &inbound : this->simulation.toKeepers)
            text += inbound.node + describe(inbound.message);
        for (const auto &[key, asked] : this->simulation.dispatcher.pendingAssigns)
            text += key + std::to_string(asked.first.value);
        text += std::to_string(this->simulation.runs.size()) + (this->takenOver ? "t" : "n")
            + std::to_string(this->remaining.answersLost) + std::to_string(this->remaining.pauses)
            + std::to_string(this->remaining.clockSteps);
        return XXH3_64bits(text.data(), text.size());
    }

    /// Checks the invariants on the records that a reader of the store would find now.
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
        for (const auto &[key, answers] : this->simulation.answers) {
            for (const JobAnswer &answer : answers) {
                // A refusal answers one submission only. Another submission of the key may proceed.
                const bool refused = answer.status == JobStatus::NotRun && answer.retryAfter;
                if (refused)
                    continue;
                const bool known = claims.contains(key) || ends.contains(key);
                EXPECT_TRUE(answer.status == JobStatus::Unknown || known)
                    << "an accepted job was lost";
                const bool recorded = ends.contains(key) && ends.at(key) == answer;
                EXPECT_TRUE(!isFinal(answer.status) || recorded)
                    << "a final answer was sent but not recorded";
            }
        }
        for (const auto &[key, runs] : this->simulation.runs) {
            EXPECT_LE(runs, 1) << "ran twice";
            EXPECT_TRUE(ends.contains(key) || !places[key].empty()) << "ran without a record";
        }
    }

    /// Checks that every job completes exactly once if no further faults happen.
    void checkCompletion()
    {
        for (auto &[name, node] : this->simulation.nodes)
            node.paused = false;
        this->simulation.run(seconds(60));
        EXPECT_TRUE(this->simulation.open.empty()) << "a job was never answered";
        this->check();
    }

private:
    /// Makes a store call. A read and its reply are one event, because a late reply to a read only
    /// delays the writes that follow it, and writes are delayed by events of their own.
    void call(const std::string &name, LedgerSimulation::Node &node)
    {
        const bool writes = node.calls.front().request.verb == StoreVerb::CompareAndSwap;
        this->simulation.makeCall(node);
        if (!writes)
            this->reply(name, node);
    }

    void reply(const std::string &name, LedgerSimulation::Node &node)
    {
        this->recordInput(name, describe(node.replies.front().second));
        this->simulation.deliverReply(node);
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

    std::deque<LedgerSimulation::Inbound>::iterator nextMessage(const std::string &node)
    {
        return std::find_if(
            this->simulation.toKeepers.begin(), this->simulation.toKeepers.end(),
            [&node](const LedgerSimulation::Inbound &inbound) { return inbound.node == node; });
    }

    void recordInput(const std::string &node, const std::string &input)
    {
        const std::string text = std::to_string(this->histories[node]) + input
            + std::to_string(this->simulation.now.time_since_epoch().count());
        this->histories[node] = XXH3_64bits(text.data(), text.size());
    }

    void tick()
    {
        TimePoint next = this->simulation.now + seconds(1);
        for (const auto &[name, node] : this->simulation.nodes) {
            if (!node.paused)
                next = std::min(next, node.keeper->nextWakeup());
        }
        this->simulation.now = std::max(next, this->simulation.now + Duration(1));
        for (auto &[name, node] : this->simulation.nodes) {
            if (node.paused)
                continue;
            this->recordInput(name, "tick");
            this->simulation.invoke(node, [this](JobKeeper &keeper, KeeperActions &out) {
                keeper.tick(this->simulation.now, out);
            });
        }
    }

    std::vector<LedgerRecord> records() const
    {
        std::vector<LedgerRecord> records;
        std::map<std::uint64_t, LedgerBatch> batches;
        std::uint64_t covered = 0;
        for (const auto &[key, entry] : this->simulation.store.all()) {
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
                << "a new writer without an epoch record";
            writer = batch.writer;
            if (sequence > covered)
                records.insert(records.end(), batch.records.begin(), batch.records.end());
        }
        return records;
    }

    LedgerSimulation simulation;
    std::map<std::string, std::uint64_t> histories;
    Limits remaining;
    bool takenOver = false;
};

/// A reached state: the events that lead to it, and the events that may follow.
struct Reached
{
    Path path;
    Path events;
};

/// Totals over all starting points.
struct ExplorationTotals
{
    std::size_t states = 0;
    std::size_t transitions = 0;
    std::size_t ends = 0;
};

void explore(const Limits &limits, ExplorationTotals &sum)
{
    constexpr std::size_t completionCheckInterval = 20;
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
            if (sum.states % completionCheckInterval == 0) {
                ++sum.ends;
                model.checkCompletion();
            }
            ASSERT_FALSE(testing::Test::HasFailure())
                << "after " << path.size() << " events from step " << limits.start;
        }
    }
}

TEST(LedgerModelTest, noOrderOfEventsOfTwoWritersLosesOrDuplicatesAJob)
{
    // Starts from every second step in the life of one job and explores all orders from there.
    constexpr int lastStart = 16;
    ExplorationTotals sum;
    for (int start = 0; start <= lastStart; start += 2) {
        explore({.answersLost = 1, .pauses = 1, .clockSteps = 3, .start = start, .depth = 7}, sum);
        ASSERT_FALSE(HasFailure());
    }
    std::printf("states visited: %zu, transitions: %zu, run to completion: %zu\n"
                "checked in each: a key is claimed once, assigned once an attempt, ended once; "
                "every answer was recorded before it was sent; a job ran at most once and where "
                "recorded; batches form one chain and a new writer starts with its epoch\n",
                sum.states, sum.transitions, sum.ends);
    EXPECT_GT(sum.states, 10000U);
}

} // namespace
} // namespace Hibiscus
