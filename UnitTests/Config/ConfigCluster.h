#pragma once

#include "FakeStore.h"

#include <Config/ConfigReplica.h>
#include <Config/ConfigurationJson.h>

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Hibiscus {

/// Outcome of one store call.
enum class CallOutcome {
    Normal,
    LostRequest, ///< The call has no effect and no answer.
    LostAnswer, ///< The call takes effect but has no answer.
    LateEffect, ///< The call has no answer and takes effect in `applyLateEffects`.
};

/// Replicas on one fake store with a simulated clock. Checks at every step that no replica's
/// revision decreases and that no two replicas differ at the same revision.
class ConfigCluster
{
public:
    struct SentCall
    {
        StoreCall call;
        std::int64_t sentAt = 0; ///< Store revision when the call was sent.
    };

    struct Node
    {
        std::unique_ptr<ConfigReplica> replica;
        std::deque<SentCall> calls;
        std::optional<std::int64_t> watch; ///< Next store revision that the watch reports.
        std::uint64_t seenRevision = 0;
    };

    explicit ConfigCluster(std::size_t size,
                           const ConfigReplicaSettings &settings = smallSnapshotInterval())
        : settings(settings)
    {
        for (std::size_t i = 0; i < size; ++i)
            this->nodes.emplace_back();
        for (std::size_t i = 0; i < size; ++i)
            this->replace(i);
    }

    /// Settings with snapshots after few changes, so that tests cover them.
    static ConfigReplicaSettings smallSnapshotInterval()
    {
        ConfigReplicaSettings settings;
        settings.changesPerSnapshot = 2;
        return settings;
    }

    /// Replaces a node's replica by a new process.
    void replace(std::size_t index)
    {
        ConfigReplicaSettings own = this->settings;
        own.seed = ++this->lastSeed;
        Node &node = this->nodes[index];
        node = Node();
        node.replica = std::make_unique<ConfigReplica>(own);
        node.replica->setFleet({{"athens", {96, 48, 24, 12, 2}, {}}});
    }

    ConfigReplica &replica(std::size_t index) { return *this->nodes[index].replica; }
    Node &node(std::size_t index) { return this->nodes[index]; }
    TimePoint now() const { return this->time; }

    /// Passes an event to a replica and collects the requested actions.
    template <class Event>
    void act(std::size_t index, const Event &event)
    {
        Node &node = this->nodes[index];
        ConfigActions out;
        event(*node.replica, out);
        for (StoreCall &call : out.storeCalls)
            node.calls.push_back({std::move(call), this->store.latest()});
        for (const ConfigActions::Answer &answer : out.answers)
            this->answers[answer.call.value] = answer.reply;
        if (out.watchFrom)
            node.watch = out.watchFrom;
        this->check(node, out);
    }

    /// Submits an operator's change to a node. The answer gets the returned number.
    std::uint64_t change(std::size_t index, const ConfigChange &change)
    {
        const CallId call{++this->lastChange};
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.submitChange(call, change, this->time, out);
        });
        return call.value;
    }

    void setWatching(std::size_t index, bool watching)
    {
        if (!watching)
            this->nodes[index].watch.reset();
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.setWatching(watching, this->time, out);
        });
    }

    void breakWatch(std::size_t index)
    {
        this->nodes[index].watch.reset();
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.watchBroken(this->time, out);
        });
    }

    void deliverWatch(std::size_t index)
    {
        Node &node = this->nodes[index];
        if (!node.watch || *node.watch > this->store.latest())
            return;
        const StoreWatchBatch batch = this->store.since(*node.watch);
        node.watch = this->store.latest() + 1;
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.watchBatch(batch, this->time, out);
        });
    }

    /// Relays what `from` knows after a revision to `to`.
    void relay(std::size_t from, std::size_t to, std::uint64_t afterRevision)
    {
        const ConfigReplica::Relay relay = this->nodes[from].replica->relayAfter(afterRevision);
        this->act(to, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.relayed(relay, this->time, out);
        });
    }

    /// Executes a node's oldest store call.
    void executeNextCall(std::size_t index, CallOutcome outcome)
    {
        Node &node = this->nodes[index];
        const SentCall sent = node.calls.front();
        node.calls.pop_front();
        StoreReply reply;
        if (outcome == CallOutcome::Normal || outcome == CallOutcome::LostAnswer)
            reply = this->execute(sent.call.request, sent.sentAt);
        if (outcome == CallOutcome::LateEffect)
            this->late.push_back(sent.call.request);
        if (outcome != CallOutcome::Normal)
            reply = StoreReply();
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.storeReply(sent.call.call, reply, this->time, out);
        });
    }

    void applyLateEffects()
    {
        for (const StoreRequest &request : std::exchange(this->late, {}))
            this->execute(request, this->store.latest());
    }

    /// Executes all calls and delivers all watch events until no node has work at the present time.
    void runUntilQuiet()
    {
        bool busy = true;
        while (busy) {
            busy = false;
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->paused.contains(i))
                    continue;
                while (!this->nodes[i].calls.empty()) {
                    busy = true;
                    const StoreRequest &request = this->nodes[i].calls.front().call.request;
                    this->executeNextCall(
                        i, this->outcomeOf ? this->outcomeOf(i, request) : CallOutcome::Normal);
                }
                this->deliverWatch(i);
            }
        }
    }

    /// Advances the clock by `span` and wakes nodes when they request it.
    void run(Duration span)
    {
        const TimePoint end = this->time + span;
        this->tickAll();
        while (true) {
            TimePoint next = TimePoint::max();
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (!this->paused.contains(i))
                    next = std::min(next, this->nodes[i].replica->nextWakeup());
            }
            if (next > end)
                break;
            // A node that requests a wakeup in the past would make its instance spin.
            ASSERT_GE(next, this->time);
            this->time = std::max(next, this->time + Duration(1));
            this->tickAll();
        }
        this->time = std::max(end, this->time);
        this->tickAll();
    }

    void tickAll()
    {
        for (std::size_t i = 0; i < this->nodes.size(); ++i) {
            if (!this->paused.contains(i))
                this->tick(i);
        }
        this->runUntilQuiet();
    }

    void tick(std::size_t index)
    {
        this->act(index, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.tick(this->time, out);
        });
    }

    void passTime(Duration span) { this->time += span; }

    /// Submits a change and runs the cluster until it is answered.
    ChangeReply changeAndWait(std::size_t index, const ConfigChange &change)
    {
        const std::uint64_t call = this->change(index, change);
        this->runUntilQuiet();
        for (int i = 0; i < 100 && !this->answers.contains(call); ++i)
            this->run(milliseconds(100));
        return this->answers[call];
    }

    FakeStore store;
    std::map<std::uint64_t, ChangeReply> answers; ///< Answers by the number that `change` returned.
    std::function<CallOutcome(std::size_t node, const StoreRequest &request)> outcomeOf;
    std::map<std::size_t, bool> paused; ///< Nodes that are paused.

private:
    /// Executes a store call and checks that neither floor nor snapshot decreases.
    StoreReply execute(const StoreRequest &request, std::int64_t sentAt)
    {
        StoreReply reply = this->store.execute(request, sentAt);
        if (request.verb != StoreVerb::CompareAndSwap || reply.status != StoreStatus::Ok)
            return reply;
        if (request.key == "config/floor") {
            const std::uint64_t floor = std::stoull(request.value);
            EXPECT_GT(floor, this->floor) << "the floor decreased";
            this->floor = floor;
        }
        if (request.key == "config/snapshot") {
            const auto snapshot = parseConfigSnapshot(request.value);
            EXPECT_GT(snapshot.value().configuration.revision, this->snapshot)
                << "the snapshot decreased";
            this->snapshot = snapshot->configuration.revision;
        }
        return reply;
    }

    void check(Node &node, const ConfigActions &out)
    {
        const Configuration &current = node.replica->current();
        EXPECT_GE(current.revision, node.seenRevision) << "a revision decreased";
        EXPECT_EQ(out.changed, current.revision > node.seenRevision);
        node.seenRevision = current.revision;
        const auto [known, isNew] = this->history.try_emplace(current.revision, current);
        EXPECT_TRUE(isNew || known->second == current)
            << "two different configurations of revision " << current.revision << ":\n"
            << toJson(known->second) << "\n"
            << toJson(current);
    }

    ConfigReplicaSettings settings;
    std::vector<Node> nodes;
    std::vector<StoreRequest> late;
    std::map<std::uint64_t, Configuration> history;
    TimePoint time;
    std::uint64_t floor = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t lastSeed = 0;
    std::uint64_t lastChange = 0;
};

inline ConfigChange putPreset(const std::string &changeId, const std::string &name,
                              std::optional<std::uint64_t> basedOn = {})
{
    Preset preset;
    preset.name = name;
    return {changeId, "operator", basedOn, PutPreset{preset}};
}

inline ConfigChange switchPreset(const std::string &changeId, const std::string &name,
                                 std::optional<std::uint64_t> basedOn = {})
{
    return {changeId, "operator", basedOn, SwitchPreset{name}};
}

} // namespace Hibiscus
