#include "ConfigCluster.h"

namespace Hibiscus {
namespace {

/// Makes the changes c<first> to c<last>, which put the presets p<first> to p<last>.
void makeChanges(ConfigCluster &cluster, std::size_t node, int first, int last)
{
    for (int i = first; i <= last; ++i) {
        const std::string number = std::to_string(i);
        const ChangeReply reply
            = cluster.changeAndWait(node, putPreset("c" + number, "p" + number));
        ASSERT_EQ(reply.status, ChangeStatus::Accepted) << reply.findings.toString();
        ASSERT_EQ(reply.revision, static_cast<std::uint64_t>(i));
    }
}

TEST(ConfigReplica, AnOperatorBootstrapsAnEmptyStore)
{
    ConfigCluster cluster(2);
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.replica(0).current().activePreset(), nullptr);
    EXPECT_EQ(cluster.changeAndWait(0, putPreset("c1", "ordinary")).status, ChangeStatus::Accepted);
    EXPECT_EQ(cluster.changeAndWait(0, switchPreset("c2", "ordinary")).revision, 2U);
    EXPECT_EQ(cluster.replica(0).current().activePreset()->name, "ordinary");
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.replica(1).current(), cluster.replica(0).current());
}

TEST(ConfigReplica, AChangeIsRecordedOnceIfAnyOneWriteHasNoAnswer)
{
    for (const CallOutcome outcome :
         {CallOutcome::LostAnswer, CallOutcome::LostRequest, CallOutcome::LateEffect}) {
        int writes = 1;
        for (int lost = 0; lost < writes; ++lost) {
            ConfigCluster cluster(2);
            int seen = 0;
            cluster.outcomeOf = [&](std::size_t, const StoreRequest &request) {
                const bool isWrite = request.verb == StoreVerb::CompareAndSwap
                    || request.verb == StoreVerb::Remove;
                return isWrite && seen++ == lost ? outcome : CallOutcome::Normal;
            };
            makeChanges(cluster, 0, 1, 8);
            cluster.applyLateEffects();
            cluster.run(seconds(10));
            writes = seen;
            EXPECT_EQ(cluster.replica(1).current(), cluster.replica(0).current());
            cluster.replace(1);
            cluster.run(seconds(1));
            EXPECT_EQ(cluster.replica(1).current().revision, 8U) << "lost write " << lost;
            EXPECT_EQ(cluster.replica(1).current().presets.size(), 8U);
        }
        EXPECT_GT(writes, 8 + 3) << "no snapshot was written";
    }
}

TEST(ConfigReplica, OfTwoChangesBasedOnOneRevisionOneWinsAndTheOtherGetsTheWinningRevision)
{
    ConfigCluster cluster(2);
    makeChanges(cluster, 0, 1, 1);
    cluster.run(seconds(6));
    const std::uint64_t first = cluster.change(0, putPreset("a", "pa", 1));
    const std::uint64_t second = cluster.change(1, putPreset("b", "pb", 1));
    cluster.run(seconds(2));
    const ChangeReply winner = cluster.answers.at(first);
    const ChangeReply loser = cluster.answers.at(second);
    EXPECT_EQ(winner.status, ChangeStatus::Accepted);
    EXPECT_EQ(loser.status, ChangeStatus::Conflict);
    EXPECT_EQ(loser.revision, winner.revision);
    EXPECT_FALSE(cluster.replica(1).current().presets.contains("pb"));
}

TEST(ConfigReplica, ConcurrentChangesWithoutABaseRevisionBothSucceed)
{
    ConfigCluster cluster(2);
    const std::uint64_t first = cluster.change(0, putPreset("a", "pa"));
    const std::uint64_t second = cluster.change(1, putPreset("b", "pb"));
    cluster.run(seconds(8));
    EXPECT_EQ(cluster.answers.at(first).revision, 1U);
    EXPECT_EQ(cluster.answers.at(second).revision, 2U);
    EXPECT_EQ(cluster.replica(0).current().presets.size(), 2U);
}

TEST(ConfigReplica, ARefusalIsNeverBasedOnAnOldRevision)
{
    ConfigCluster cluster(2);
    cluster.run(seconds(1));
    makeChanges(cluster, 0, 1, 1);
    // The second replica does not know p1 yet.
    EXPECT_EQ(cluster.changeAndWait(1, switchPreset("s", "p1")).status, ChangeStatus::Accepted);
    const ChangeReply reply = cluster.changeAndWait(1, switchPreset("t", "p2", 9));
    EXPECT_EQ(reply.status, ChangeStatus::Invalid);
    EXPECT_EQ(reply.findings.toString(),
              "/basedOn: there is no such revision\n/switchPreset: there is no preset p2\n");
}

TEST(ConfigReplica, AChangeIdIsRecognisedAcrossSnapshotsAndReplacedInstances)
{
    ConfigCluster cluster(2);
    makeChanges(cluster, 0, 1, 9);
    cluster.run(seconds(10));
    EXPECT_FALSE(cluster.store.all().contains("config/change/000000000003"));
    cluster.replace(1);
    const ChangeReply retried = cluster.changeAndWait(1, putPreset("c3", "p3", 2));
    EXPECT_EQ(retried.status, ChangeStatus::Accepted);
    EXPECT_EQ(retried.revision, 3U);
    EXPECT_EQ(cluster.replica(1).current().revision, 9U);
}

TEST(ConfigReplica, AChangeThatMayStillTakeEffectIsNotAnsweredInvalid)
{
    ConfigCluster cluster(1);
    makeChanges(cluster, 0, 1, 1);
    int lost = 0;
    cluster.outcomeOf = [&](std::size_t, const StoreRequest &request) {
        return request.verb == StoreVerb::CompareAndSwap && lost++ == 0 ? CallOutcome::LateEffect
                                                                        : CallOutcome::Normal;
    };
    Customer customer;
    customer.name = "parks";
    customer.guarantees["athens"] = {0, 0, 0, 12, 0};
    const std::uint64_t call = cluster.change(0, {"x", "operator", {}, PutCustomer{customer}});
    cluster.runUntilQuiet();
    ASSERT_EQ(lost, 1);
    cluster.replica(0).setFleet({});
    cluster.run(seconds(5));
    cluster.applyLateEffects();
    cluster.run(seconds(6));
    EXPECT_TRUE(cluster.replica(0).current().customers.contains("parks"));
    EXPECT_EQ(cluster.answers.at(call).status, ChangeStatus::Accepted);
}

TEST(ConfigReplica, DuringAStoreOutageAChangeEndsUnavailableAndALaterRetrySucceeds)
{
    ConfigCluster cluster(1);
    makeChanges(cluster, 0, 1, 1);
    cluster.outcomeOf = [](std::size_t, const StoreRequest &) { return CallOutcome::LostRequest; };
    const TimePoint asked = cluster.now();
    const std::uint64_t call = cluster.change(0, putPreset("x", "px"));
    cluster.run(seconds(4));
    EXPECT_FALSE(cluster.answers.contains(call));
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.answers.at(call).status, ChangeStatus::Unavailable);
    EXPECT_LE(cluster.now() - asked, seconds(5));
    EXPECT_EQ(cluster.replica(0).current().revision, 1U);
    cluster.outcomeOf = nullptr;
    EXPECT_EQ(cluster.changeAndWait(0, putPreset("x", "px")).status, ChangeStatus::Accepted);
}

TEST(ConfigReplica, ACallWithoutAReplyTimesOutAndItsLateReplyIsIgnored)
{
    ConfigCluster cluster(1);
    cluster.tick(0);
    const StoreCall stuck = cluster.node(0).calls.front().call;
    cluster.node(0).calls.clear();
    cluster.passTime(seconds(2));
    cluster.tick(0);
    cluster.run(seconds(1));
    makeChanges(cluster, 0, 1, 1);
    const std::size_t calls = cluster.node(0).calls.size();
    const StoreReply stale{StoreStatus::Ok, {{"config/floor", "7", 1}}, 1, 0};
    cluster.act(0, [&](ConfigReplica &replica, ConfigActions &out) {
        replica.storeReply(stuck.call, stale, cluster.now(), out);
    });
    EXPECT_EQ(cluster.node(0).calls.size(), calls);
    makeChanges(cluster, 0, 2, 2);
}

TEST(ConfigReplica, AWatchingReplicaUpdatesImmediatelyAndMissesNothingAfterABrokenWatch)
{
    ConfigCluster cluster(2);
    cluster.setWatching(1, true);
    cluster.runUntilQuiet();
    makeChanges(cluster, 0, 1, 1);
    EXPECT_EQ(cluster.replica(1).current().revision, 1U);
    cluster.breakWatch(1);
    cluster.paused[1] = true;
    makeChanges(cluster, 0, 2, 9);
    cluster.paused.clear();
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.replica(1).current().revision, 9U);
    makeChanges(cluster, 0, 10, 10);
    EXPECT_EQ(cluster.replica(1).current().revision, 10U) << "the watch was not reopened";
}

TEST(ConfigReplica, SettingWatchingAgainCausesNoCall)
{
    ConfigCluster cluster(1);
    cluster.setWatching(0, true);
    cluster.runUntilQuiet();
    cluster.run(seconds(1));
    const auto watch = cluster.node(0).watch;
    cluster.setWatching(0, true);
    EXPECT_TRUE(cluster.node(0).calls.empty());
    EXPECT_EQ(cluster.node(0).watch, watch);
}

TEST(ConfigReplica, ReorderedAndRepeatedRelaysLeadToTheLatestRevision)
{
    ConfigCluster cluster(2);
    cluster.paused[1] = true;
    makeChanges(cluster, 0, 1, 3);
    cluster.relay(0, 1, 2);
    EXPECT_EQ(cluster.replica(1).current().revision, 0U);
    const ConfigReplica::Relay all = cluster.replica(0).relayAfter(0);
    ASSERT_EQ(all.changes.size(), 3U);
    for (const std::size_t part : {1U, 1U, 0U}) {
        const ConfigReplica::Relay relay{0, "", part + 1, {all.changes[part]}};
        cluster.act(1, [&](ConfigReplica &replica, ConfigActions &out) {
            replica.relayed(relay, cluster.now(), out);
        });
    }
    EXPECT_EQ(cluster.replica(1).current(), cluster.replica(0).current());
    cluster.relay(0, 1, 0);
    EXPECT_EQ(cluster.replica(1).current().revision, 3U);
}

TEST(ConfigReplica, APeerFarBehindGetsASnapshotWithChangeIds)
{
    ConfigCluster cluster(2);
    cluster.paused[1] = true;
    makeChanges(cluster, 0, 1, 300);
    const ConfigReplica::Relay relay = cluster.replica(0).relayAfter(1);
    EXPECT_EQ(relay.snapshotRevision, 300U);
    EXPECT_TRUE(relay.changes.empty());
    cluster.relay(0, 1, 1);
    EXPECT_EQ(cluster.replica(1).current(), cluster.replica(0).current());
    const std::uint64_t call = cluster.change(1, putPreset("c250", "p250"));
    EXPECT_EQ(cluster.answers.at(call).revision, 250U);
    EXPECT_TRUE(cluster.replica(0).relayAfter(300).changes.empty());
}

/// An instance is paused until the key of its next revision has been removed, and then creates that
/// key again. Other replicas must not take the new key for the old revision.
TEST(ConfigReplica, AChangeKeyCreatedAgainAfterItsRemovalIsNotTakenForAnOldRevision)
{
    ConfigCluster cluster(3);
    makeChanges(cluster, 0, 1, 2);
    cluster.run(seconds(6));
    ASSERT_EQ(cluster.replica(1).current().revision, 2U);
    cluster.paused[1] = true;
    cluster.paused[2] = true;
    // Node 2 sends its read before the following changes and gets the reply after them.
    cluster.setWatching(2, true);
    makeChanges(cluster, 0, 3, 9);
    ASSERT_FALSE(cluster.store.all().contains("config/change/000000000003"));

    const std::uint64_t call = cluster.change(1, putPreset("late", "plate"));
    ASSERT_EQ(cluster.node(1).calls.front().call.request.key, "config/change/000000000003");
    cluster.executeNextCall(1, CallOutcome::Normal);
    // Node 2, which was paused as well, reads the store before node 1 continues.
    cluster.paused.erase(2);
    cluster.paused[0] = true;
    cluster.runUntilQuiet();
    EXPECT_EQ(cluster.replica(2).current(), cluster.replica(0).current());
    cluster.paused.clear();
    cluster.runUntilQuiet();
    cluster.run(seconds(1));
    EXPECT_EQ(cluster.answers.at(call).status, ChangeStatus::Accepted);
    EXPECT_EQ(cluster.answers.at(call).revision, 10U);
    cluster.run(seconds(6));
    EXPECT_EQ(cluster.replica(0).current(), cluster.replica(1).current());
}

TEST(ConfigReplica, AWatchedKeyBelowTheFloorIsNotTakenForTheNextRevision)
{
    ConfigCluster cluster(1);
    makeChanges(cluster, 0, 1, 2);
    StoreWatchBatch batch;
    batch.written.push_back({"config/floor", "7", 50});
    batch.written.push_back(
        {"config/change/000000000003", toJson(ChangeRecord{3, putPreset("old", "pold")}), 51});
    cluster.act(0, [&](ConfigReplica &replica, ConfigActions &out) {
        replica.watchBatch(batch, cluster.now(), out);
    });
    EXPECT_EQ(cluster.replica(0).current().revision, 2U);
    EXPECT_EQ(cluster.node(0).calls.size(), 1U) << "the store should be read again";
}

TEST(ConfigReplica, OldChangesAreRemovedAndIdleReplicasPollRarely)
{
    ConfigCluster cluster(2);
    cluster.setWatching(1, true);
    makeChanges(cluster, 0, 1, 100);
    cluster.run(seconds(60));
    EXPECT_LE(cluster.store.all().size(), 8U);
    std::size_t calls = 0;
    cluster.outcomeOf = [&](std::size_t, const StoreRequest &) {
        ++calls;
        return CallOutcome::Normal;
    };
    cluster.run(seconds(3600));
    // At most one call in half of each poll interval: 5 s without a watch, 30 s with one.
    EXPECT_LE(calls, 2U * (3600 / 5 + 3600 / 30));
    EXPECT_GE(calls, std::size_t(3600 / 5 + 3600 / 30));
}

} // namespace
} // namespace Hibiscus
