#pragma once

#include <Ledger/FakeStore.h>
#include <Ledger/JobKeeper.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Hibiscus {

/// Deterministic simulation of keepers with an entry, a dispatcher, a fake store and a simulated
/// clock. Every store call and every message is one step, in a fixed order.
class LedgerSimulation
{
public:
    static constexpr const char *dataCenter = "north";

    struct Node
    {
        std::string name;
        std::unique_ptr<JobKeeper> keeper;
        bool paused = false;
        std::deque<StoreCall> calls; ///< Requested store calls that are not made yet.
        std::deque<std::pair<CallId, StoreReply>> replies; ///< Replies not delivered yet.
    };

    /// A dispatcher and its workers. Requests assignments, starts a job once its assignment is
    /// accepted, reports the end until it is acknowledged, and gives up assignments that have
    /// certainly not started.
    struct Dispatcher
    {
        std::uint64_t incarnation = 1;
        bool withholdsAssignments = false; ///< Accepts jobs but does not assign them.
        std::uint64_t lastCall = 0;
        /// By job key: the AssignJob call that may still be accepted, and its worker.
        std::map<std::string, std::pair<CallId, std::string>> pendingAssigns;
        std::set<std::uint64_t> givenUp; ///< AssignJob calls that give up an attempt.
        std::map<std::string, std::string>
            started; ///< Worker by job key; jobs of this incarnation.
        std::set<std::string> unacknowledged;
        std::set<std::string> cancelled;
    };

    JobKeeperSettings settings;
    FakeStore store;
    TimePoint now{};
    std::map<std::string, Node> nodes;
    std::string owner; ///< The node that entry and dispatcher take for the keeper.
    Dispatcher dispatcher;
    std::map<std::string, int> runs; ///< Number of starts of each job on all workers.
    std::set<std::pair<std::string, std::string>>
        workerTasks; ///< Job key and worker of tasks that workers still know.
    std::map<std::string, SubmitJob> open; ///< Submitted jobs without a final answer.
    std::map<std::string, std::vector<JobAnswer>> answers; ///< All answers received, by job key.
    std::uint64_t steps = 0;
    std::uint64_t incarnations = 0;

    LedgerSimulation()
    {
        this->settings.shards = 1;
        this->settings.batchesPerSnapshot = 4;
        this->settings.logSlots = 16;
        this->settings.maxBatchBytes = 4096;
    }

    static JobSpec spec(const std::string &id)
    {
        JobSpec spec{.requestId = id, .customer = "turf", .caller = "desk", .kind = "dose"};
        spec.idempotent = false;
        spec.durable = true;
        spec.payload = "{\"lawn\":\"" + id + "\"}";
        return spec;
    }

    static std::string key(const std::string &id) { return jobKey("turf", id); }

    /// Starts a node. A running node of the same name is killed first.
    Node &start(const std::string &name)
    {
        JobKeeperSettings own = this->settings;
        own.instance = name;
        own.incarnation = ++this->incarnations;
        Node &node = this->nodes[name];
        node = Node{.name = name, .keeper = std::make_unique<JobKeeper>(own)};
        this->invoke(node, [this](JobKeeper &keeper, KeeperActions &out) {
            keeper.setDispatcher(dataCenter, "dispatcher", this->dispatcher.incarnation, this->now,
                                 out);
        });
        return node;
    }

    /// Replaces the dispatcher by a new incarnation without its state.
    void restartDispatcher()
    {
        Dispatcher successor;
        successor.incarnation = this->dispatcher.incarnation + 1;
        successor.lastCall = this->dispatcher.lastCall;
        successor.withholdsAssignments = this->dispatcher.withholdsAssignments;
        this->dispatcher = successor;
        for (auto &[name, node] : this->nodes)
            this->invoke(node, [&](JobKeeper &keeper, KeeperActions &out) {
                keeper.setDispatcher(dataCenter, "dispatcher", successor.incarnation, this->now,
                                     out);
            });
    }

    void setOwned(const std::string &name, bool owns)
    {
        const std::vector<std::uint32_t> shards(owns ? 1 : 0, 0);
        this->invoke(this->nodes.at(name), [&](JobKeeper &keeper, KeeperActions &out) {
            keeper.setOwnedShards(shards, this->now, out);
        });
        if (owns)
            this->owner = name;
    }

    void invoke(Node &node, const std::function<void(JobKeeper &, KeeperActions &)> &action)
    {
        KeeperActions out;
        action(*node.keeper, out);
        node.calls.insert(node.calls.end(), out.storeCalls.begin(), out.storeCalls.end());
        for (PeerSend &send : out.sends)
            this->fromKeepers.emplace_back(node.name, std::move(send));
    }

    void submit(const std::string &id)
    {
        // Repetitions of this submission have the same call id.
        const SubmitJob message{.call = CallId{++this->lastCall}, .spec = spec(id)};
        this->open[key(id)] = message;
        this->sentTo[key(id)] = this->owner;
        this->toKeepers.push_back({this->owner, "entry", message});
    }

    /// Submits a job from another entry, which accepts answers from any keeper.
    void sendSubmit(const std::string &node, const JobSpec &spec)
    {
        SubmitJob message{.call = CallId{++this->lastCall}, .spec = spec};
        this->toKeepers.push_back({node, "other", message});
    }

    void sendCancel(const std::string &node, const std::string &id)
    {
        const CancelJob message{.call = CallId{++this->lastCall}, .key = key(id)};
        this->toKeepers.push_back({node, "other", message});
    }

    void sendToKeeper(const std::string &node, const std::string &from, const PeerMessage &message)
    {
        this->toKeepers.push_back({node, from, message});
    }

    /// Performs one store call or delivers one message or reply. Returns false if there is none.
    bool step()
    {
        ++this->steps;
        return this->stepMessage() || this->stepStore();
    }

    /// Runs the simulation for `span` of simulated time. Calls `beforeStep` before every step.
    void run(Duration span, const std::function<void()> &beforeStep = {})
    {
        const TimePoint end = this->now + span;
        while (true) {
            if (beforeStep)
                beforeStep();
            if (this->step())
                continue;
            if (this->now >= end)
                return;
            this->now = std::min(end, this->nextEvent());
            this->tick();
        }
    }

    JobStatus lastStatus(const std::string &id) const
    {
        const auto found = this->answers.find(key(id));
        return found == this->answers.end() ? JobStatus::Unknown : found->second.back().status;
    }

    /// Returns true if any answer so far had this status.
    bool wasAnswered(const std::string &id, JobStatus status) const
    {
        const auto found = this->answers.find(key(id));
        return found != this->answers.end()
            && std::any_of(found->second.begin(), found->second.end(),
                           [status](const JobAnswer &answer) { return answer.status == status; });
    }

    std::vector<std::pair<std::string, PeerMessage>>
        toDispatcher; ///< All messages to the dispatcher, with their senders.
    std::vector<AssignReply> assignReplies; ///< All replies that the dispatcher received.

    struct Inbound
    {
        std::string node;
        std::string from;
        PeerMessage message;
    };

    TimePoint nextEvent() const
    {
        TimePoint next = this->now + milliseconds(100);
        for (const auto &[name, node] : this->nodes) {
            if (!node.paused)
                next = std::min(next, node.keeper->nextWakeup());
        }
        return std::max(next, this->now + Duration(1));
    }

    void tick()
    {
        for (auto &[name, node] : this->nodes) {
            if (!node.paused)
                this->invoke(node, [this](JobKeeper &keeper, KeeperActions &out) {
                    keeper.tick(this->now, out);
                });
        }
        if (this->now < this->nextRepeat)
            return;
        this->nextRepeat = this->now + seconds(1);
        for (const auto &[key, message] : this->open) {
            this->sentTo[key] = this->owner;
            this->toKeepers.push_back({this->owner, "entry", message});
        }
        for (const std::string &key : this->dispatcher.unacknowledged)
            this->report(key);
    }

    /// Delivers the next message that a keeper has sent.
    bool stepFromKeeper()
    {
        if (this->fromKeepers.empty())
            return false;
        const auto [from, send] = std::move(this->fromKeepers.front());
        this->fromKeepers.pop_front();
        if (send.instance == "dispatcher")
            this->deliverToDispatcher(from, send.message);
        else if (const auto *update = std::get_if<JobUpdate>(&send.message))
            this->deliverToEntry(from, send.instance, *update);
        return true;
    }

    bool stepMessage()
    {
        if (this->stepFromKeeper())
            return true;
        for (auto inbound = this->toKeepers.begin(); inbound != this->toKeepers.end(); ++inbound) {
            const auto node = this->nodes.find(inbound->node);
            if (node != this->nodes.end() && node->second.paused)
                continue;
            const Inbound message = std::move(*inbound);
            this->toKeepers.erase(inbound);
            if (node != this->nodes.end())
                this->deliverToKeeper(node->second, message);
            return true;
        }
        return false;
    }

    bool stepStore()
    {
        for (auto &[name, node] : this->nodes) {
            if (node.paused)
                continue;
            if (this->deliverReply(node) || this->makeCall(node))
                return true;
        }
        return false;
    }

    bool deliverReply(Node &node)
    {
        if (node.replies.empty())
            return false;
        const std::pair<CallId, StoreReply> reply = std::move(node.replies.front());
        node.replies.pop_front();
        this->invoke(node, [&](JobKeeper &keeper, KeeperActions &out) {
            keeper.storeReply(reply.first, reply.second, this->now, out);
        });
        return true;
    }

    /// Makes a node's next store call without delivering its reply yet.
    bool makeCall(Node &node)
    {
        if (node.calls.empty())
            return false;
        const StoreCall call = std::move(node.calls.front());
        node.calls.pop_front();
        std::optional<StoreReply> reply = this->store.call(call.request);
        if (reply)
            node.replies.emplace_back(call.call, std::move(*reply));
        return true;
    }

    void deliverToKeeper(Node &node, const Inbound &inbound)
    {
        this->invoke(node, [&](JobKeeper &keeper, KeeperActions &out) {
            const TimePoint at = this->now;
            if (const auto *submit = std::get_if<SubmitJob>(&inbound.message))
                keeper.submit(inbound.from, *submit, dataCenter, at, out);
            else if (const auto *cancel = std::get_if<CancelJob>(&inbound.message))
                keeper.cancel(inbound.from, *cancel, at, out);
            else if (const auto *query = std::get_if<QueryJob>(&inbound.message))
                keeper.query(inbound.from, *query, at, out);
            else if (const auto *assign = std::get_if<AssignJob>(&inbound.message))
                keeper.assign(inbound.from, *assign, at, out);
            else if (const auto *update = std::get_if<JobUpdate>(&inbound.message))
                keeper.update(inbound.from, *update, at, out);
        });
    }

    /// "entry" ignores answers of keepers other than the one it asked last.
    void deliverToEntry(const std::string &from, const std::string &to, const JobUpdate &update)
    {
        if (update.notOwner || (to == "entry" && from != this->sentTo[update.key]))
            return;
        this->answers[update.key].push_back(update.answer);
        if (isFinal(update.answer.status))
            this->open.erase(update.key);
    }

    void deliverToDispatcher(const std::string &from, const PeerMessage &message)
    {
        this->toDispatcher.emplace_back(from, message);
        if (const auto *submit = std::get_if<SubmitJob>(&message))
            this->dispatch(from, *submit);
        else if (const auto *reply = std::get_if<AssignReply>(&message))
            this->assigned(from, *reply);
        else if (const auto *update = std::get_if<JobUpdate>(&message)) {
            if (isFinal(update->answer.status) && !update->notOwner)
                this->removeJob(update->key);
        } else if (const auto *cancel = std::get_if<CancelJob>(&message)) {
            this->dispatcher.cancelled.insert(cancel->key);
        }
    }

    /// Removes a job from dispatcher and worker after its end is recorded.
    void removeJob(const std::string &key)
    {
        this->dispatcher.unacknowledged.erase(key);
        const auto started = this->dispatcher.started.find(key);
        if (started == this->dispatcher.started.end())
            return;
        this->workerTasks.erase({key, started->second});
        this->dispatcher.started.erase(started);
    }

    void dispatch(const std::string &from, const SubmitJob &submit)
    {
        const std::string key = jobKey(submit.spec.customer, submit.spec.requestId);
        const bool workerKnowsJob = !submit.places.empty()
            && this->workerTasks.contains({key, submit.places.front().worker});
        if (workerKnowsJob)
            this->dispatcher.started[key] = submit.places.front().worker;
        if (this->dispatcher.started.contains(key)) {
            this->dispatcher.unacknowledged.insert(key);
            this->report(key);
            return;
        }
        if (this->dispatcher.withholdsAssignments)
            return;
        AssignJob assign{.call = CallId{++this->dispatcher.lastCall},
                         .key = key,
                         .attempt = submit.attempt,
                         .dispatcherIncarnation = this->dispatcher.incarnation};
        // A late answer to an older call must not start the job.
        this->dispatcher.pendingAssigns.erase(key);
        if (submit.places.empty())
            this->askFor(assign);
        else
            this->dispatcher.givenUp.insert(assign.call.value);
        this->sendToKeeper(from, "dispatcher", assign);
    }

    void askFor(AssignJob &assign)
    {
        assign.places = {
            {.worker = "w" + std::to_string(++this->placeCount), .incarnation = "i1", .slots = 1}};
        this->dispatcher.pendingAssigns[assign.key] = {assign.call, assign.places.front().worker};
    }

    void assigned(const std::string &from, const AssignReply &reply)
    {
        this->assignReplies.push_back(reply);
        if (reply.accepted && this->dispatcher.givenUp.erase(reply.call.value) > 0) {
            AssignJob again{.call = CallId{++this->dispatcher.lastCall},
                            .key = reply.key,
                            .attempt = reply.attempt + 1,
                            .dispatcherIncarnation = this->dispatcher.incarnation};
            this->askFor(again);
            this->sendToKeeper(from, "dispatcher", again);
            return;
        }
        const auto asked = this->dispatcher.pendingAssigns.find(reply.key);
        const bool awaited
            = asked != this->dispatcher.pendingAssigns.end() && asked->second.first == reply.call;
        if (!reply.accepted || !awaited)
            return;
        const std::string worker = asked->second.second;
        this->dispatcher.pendingAssigns.erase(asked);
        this->dispatcher.started[reply.key] = worker;
        this->workerTasks.insert({reply.key, worker});
        ++this->runs[reply.key];
        this->dispatcher.unacknowledged.insert(reply.key);
        this->sendToKeeper(from, "dispatcher", this->doneUpdate(reply.key));
    }

    JobUpdate doneUpdate(const std::string &key)
    {
        return {.call = CallId{++this->dispatcher.lastCall},
                .from = JobRole::Dispatcher,
                .key = key,
                .answer = {.status = JobStatus::Done, .result = "fed " + key}};
    }

    void report(const std::string &key)
    {
        this->sendToKeeper(this->owner, "dispatcher", this->doneUpdate(key));
    }

    std::deque<std::pair<std::string, PeerSend>> fromKeepers;
    std::deque<Inbound> toKeepers;
    std::uint64_t lastCall = 0;
    std::uint64_t placeCount = 0;
    TimePoint nextRepeat{};
    std::map<std::string, std::string> sentTo; ///< By job key: the keeper that "entry" asked last.
};

} // namespace Hibiscus
