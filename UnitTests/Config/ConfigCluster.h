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

/// What becomes of one store call.
enum class CallFate {
    Normal,
    LostRequest, ///< No effect, no answer.
    LostAnswer, ///< Takes effect, no answer.
    LateEffect, ///< No answer; takes effect when `landLateEffects` is called.
};

/// Some keepers around one fake store, in passed-in time. Checks at every step that no keeper's
/// revision falls and that no two keepers differ at the same revision.
class ConfigCluster
{
public:
    struct SentCall
    {
        StoreCall call;
        std::int64_t sentAt = 0; ///< The store's revision then.
    };

    struct Node
    {
        std::unique_ptr<ConfigReplica> keeper;
        std::deque<SentCall> calls;
        std::optional<std::int64_t> watch; ///< Next store revision to report.
        std::uint64_t seenRevision = 0;
    };

    explicit ConfigCluster(std::size_t size, const ConfigReplicaSettings &settings = quick())
        : settings(settings)
    {
        for (std::size_t i = 0; i < size; ++i)
            this->nodes.emplace_back();
        for (std::size_t i = 0; i < size; ++i)
            this->replace(i);
    }

    /// Snapshots after few changes, so that tests meet them.
    static ConfigReplicaSettings quick()
    {
        ConfigReplicaSettings settings;
        settings.changesPerSnapshot = 2;
        return settings;
    }

    /// A new process in place of a node's keeper.
    void replace(std::size_t index)
    {
        ConfigReplicaSettings own = this->settings;
        own.seed = ++this->lastSeed;
        Node &node = this->nodes[index];
        node = Node();
        node.keeper = std::make_unique<ConfigReplica>(own);
        node.keeper->setFleet({{"athens", {96, 48, 24, 12, 2}, {}}});
    }

    ConfigReplica &keeper(std::size_t index) { return *this->nodes[index].keeper; }
    Node &node(std::size_t index) { return this->nodes[index]; }
    TimePoint now() const { return this->time; }

    /// Hands a keeper an event and collects what it wants done.
    template <class Event>
    void act(std::size_t index, const Event &event)
    {
        Node &node = this->nodes[index];
        ConfigActions out;
        event(*node.keeper, out);
        for (StoreCall &call : out.storeCalls)
            node.calls.push_back({std::move(call), this->store.latest()});
        for (const ConfigActions::Answer &answer : out.answers)
            this->answers[answer.call.value] = answer.reply;
        if (out.watchFrom)
            node.watch = out.watchFrom;
        this->check(node, out);
    }

    /// Starts an operator's change at a node; its answer comes under the returned id.
    std::uint64_t change(std::size_t index, const ConfigChange &change)
    {
        const CallId call{++this->lastChange};
        this->act(index, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.submitChange(call, change, this->time, out);
        });
        return call.value;
    }

    void setWatching(std::size_t index, bool watching)
    {
        if (!watching)
            this->nodes[index].watch.reset();
        this->act(index, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.setWatching(watching, this->time, out);
        });
    }

    void breakWatch(std::size_t index)
    {
        this->nodes[index].watch.reset();
        this->act(index, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.watchBroken(this->time, out);
        });
    }

    void deliverWatch(std::size_t index)
    {
        Node &node = this->nodes[index];
        if (!node.watch || *node.watch > this->store.latest())
            return;
        const StoreWatchBatch batch = this->store.since(*node.watch);
        node.watch = this->store.latest() + 1;
        this->act(index, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.watchBatch(batch, this->time, out);
        });
    }

    /// Relays what `from` knows beyond a revision.
    void relay(std::size_t from, std::size_t to, std::uint64_t afterRevision)
    {
        const ConfigReplica::Relay relay = this->nodes[from].keeper->relayAfter(afterRevision);
        this->act(to, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.relayed(relay, this->time, out);
        });
    }

    /// Carries a node's oldest store call out.
    void carryOut(std::size_t index, CallFate fate)
    {
        Node &node = this->nodes[index];
        const SentCall sent = node.calls.front();
        node.calls.pop_front();
        StoreReply reply;
        if (fate == CallFate::Normal || fate == CallFate::LostAnswer)
            reply = this->execute(sent.call.request, sent.sentAt);
        if (fate == CallFate::LateEffect)
            this->late.push_back(sent.call.request);
        if (fate != CallFate::Normal)
            reply = StoreReply();
        this->act(index, [&](ConfigReplica &keeper, ConfigActions &out) {
            keeper.storeReply(sent.call.call, reply, this->time, out);
        });
    }

    void landLateEffects()
    {
        for (const StoreRequest &request : std::exchange(this->late, {}))
            this->execute(request, this->store.latest());
    }

    /// Carries out every call and watch until nobody has anything to do now.
    void settle()
    {
        bool busy = true;
        while (busy) {
            busy = false;
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (this->held.contains(i))
                    continue;
                while (!this->nodes[i].calls.empty()) {
                    busy = true;
                    const StoreRequest &request = this->nodes[i].calls.front().call.request;
                    this->carryOut(i, this->fate ? this->fate(i, request) : CallFate::Normal);
                }
                this->deliverWatch(i);
            }
        }
    }

    /// Lets time pass, waking every node that asks for it.
    void run(Duration span)
    {
        const TimePoint end = this->time + span;
        this->tickAll();
        while (true) {
            TimePoint next = TimePoint::max();
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                if (!this->held.contains(i))
                    next = std::min(next, this->nodes[i].keeper->nextWakeup());
            }
            if (next > end)
                break;
            // A node that asks again and again for the same moment would hang its instance.
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
            if (!this->held.contains(i))
                this->tick(i);
        }
        this->settle();
    }

    void tick(std::size_t index)
    {
        this->act(index,
                  [&](ConfigReplica &keeper, ConfigActions &out) { keeper.tick(this->time, out); });
    }

    void passTime(Duration span) { this->time += span; }

    /// A change that is run to its answer at once.
    ChangeReply make(std::size_t index, const ConfigChange &change)
    {
        const std::uint64_t call = this->change(index, change);
        this->settle();
        for (int i = 0; i < 100 && !this->answers.contains(call); ++i)
            this->run(milliseconds(100));
        return this->answers[call];
    }

    FakeStore store;
    std::map<std::uint64_t, ChangeReply> answers; ///< By the number that `change` returned.
    std::function<CallFate(std::size_t node, const StoreRequest &request)> fate;
    std::map<std::size_t, bool> held; ///< Nodes that are paused.

private:
    /// Every write to the store: neither the floor nor the snapshot may fall.
    StoreReply execute(const StoreRequest &request, std::int64_t sentAt)
    {
        StoreReply reply = this->store.execute(request, sentAt);
        if (request.verb != StoreVerb::CompareAndSwap || reply.status != StoreStatus::Ok)
            return reply;
        if (request.key == "config/floor") {
            const std::uint64_t floor = std::stoull(request.value);
            EXPECT_GT(floor, this->floor) << "the floor fell";
            this->floor = floor;
        }
        if (request.key == "config/snapshot") {
            const auto snapshot = parseConfigSnapshot(request.value);
            EXPECT_GT(snapshot.value().configuration.revision, this->snapshot)
                << "the snapshot fell";
            this->snapshot = snapshot->configuration.revision;
        }
        return reply;
    }

    void check(Node &node, const ConfigActions &out)
    {
        const Configuration &current = node.keeper->current();
        EXPECT_GE(current.revision, node.seenRevision) << "a revision fell";
        EXPECT_EQ(out.changed, current.revision > node.seenRevision);
        node.seenRevision = current.revision;
        const auto [known, isNew] = this->history.try_emplace(current.revision, current);
        EXPECT_TRUE(isNew || known->second == current)
            << "two configurations of revision " << current.revision << ":\n"
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
