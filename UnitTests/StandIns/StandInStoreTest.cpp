#include <StandIns/StandInStore.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

constexpr TimePoint start{seconds(1000)};

class StandInStoreTest : public testing::Test
{
protected:
    StoreReply execute(const StoreRequest &request, TimePoint now = start)
    {
        return this->store.execute(request, now).reply;
    }

    StoreReply swap(const std::string &key, const std::string &value, std::int64_t revision,
                    std::int64_t lease = 0, TimePoint now = start)
    {
        return this->execute({.verb = StoreVerb::CompareAndSwap,
                              .key = key,
                              .value = value,
                              .revision = revision,
                              .lease = lease},
                             now);
    }

    std::vector<StoreEntry> get(const std::string &key, TimePoint now = start)
    {
        return this->execute({.verb = StoreVerb::Get, .key = key}, now).entries;
    }

    std::int64_t grant(Duration term)
    {
        return this->execute({.verb = StoreVerb::GrantLease, .term = term}).lease;
    }

    StandInStore store;
};

TEST_F(StandInStoreTest, SwapWritesOnlyIfTheRevisionMatches)
{
    const StoreReply created = this->swap("a", "1", 0);
    ASSERT_EQ(created.status, StoreStatus::Ok);
    const std::int64_t revision = created.entries.at(0).revision;

    EXPECT_EQ(this->swap("a", "2", 0).status, StoreStatus::Conflict);
    const StoreReply conflict = this->swap("a", "2", revision + 1);
    EXPECT_EQ(conflict.status, StoreStatus::Conflict);
    EXPECT_EQ(conflict.entries, created.entries);

    EXPECT_EQ(this->swap("a", "2", revision).status, StoreStatus::Ok);
    EXPECT_EQ(this->get("a").at(0).value, "2");
    EXPECT_GT(this->get("a").at(0).revision, revision);
    const StoreReply absent = this->swap("b", "1", revision);
    EXPECT_EQ(absent.status, StoreStatus::Conflict);
    EXPECT_TRUE(absent.entries.empty());
}

TEST_F(StandInStoreTest, RemoveTakesEffectOnlyIfTheRevisionMatches)
{
    const std::int64_t revision = this->swap("a", "1", 0).entries.at(0).revision;
    const StoreRequest mismatched{.verb = StoreVerb::Remove, .key = "a", .revision = revision + 1};
    EXPECT_EQ(this->execute(mismatched).status, StoreStatus::Conflict);
    EXPECT_EQ(this->get("a").size(), 1U);
    const StoreRequest matching{.verb = StoreVerb::Remove, .key = "a", .revision = revision};
    EXPECT_EQ(this->execute(matching).status, StoreStatus::Ok);
    EXPECT_TRUE(this->get("a").empty());
    EXPECT_EQ(this->swap("a", "2", 0).status, StoreStatus::Ok);
}

TEST_F(StandInStoreTest, ListIsSortedExcludesItsEndAndRespectsTheLimit)
{
    for (const char *const key : {"c", "a", "b", "d"})
        this->swap(key, key, 0);
    const auto list = [&](const std::string &end, std::int64_t limit) {
        std::string keys;
        const StoreRequest request{.verb = StoreVerb::List, .key = "b", .end = end, .limit = limit};
        for (const StoreEntry &entry : this->execute(request).entries)
            keys += entry.key;
        return keys;
    };
    EXPECT_EQ(list("d", 0), "bc");
    EXPECT_EQ(list("d", 1), "b");
    EXPECT_EQ(list(std::string(1, '\0'), 0), "bcd");
}

TEST_F(StandInStoreTest, ExpiredLeaseRemovesItsKeysAndCannotBeRenewed)
{
    const std::int64_t lease = this->grant(seconds(5));
    this->swap("bound", "1", 0, lease);
    this->swap("free", "1", 0);
    const StoreRequest keep{.verb = StoreVerb::KeepLease, .lease = lease};

    EXPECT_EQ(this->execute(keep, start + seconds(4)).status, StoreStatus::Ok);
    EXPECT_EQ(this->get("bound", start + seconds(8)).size(), 1U);
    EXPECT_TRUE(this->get("bound", start + seconds(9)).empty());
    EXPECT_EQ(this->get("free", start + seconds(9)).size(), 1U);
    EXPECT_EQ(this->execute(keep, start + seconds(9)).status, StoreStatus::Conflict);
    EXPECT_EQ(this->swap("late", "1", 0, lease, start + seconds(9)).status, StoreStatus::Conflict);
    EXPECT_TRUE(this->get("late", start + seconds(9)).empty());
}

TEST_F(StandInStoreTest, KeyRewrittenWithoutALeaseSurvivesTheRevocationOfItsOldLease)
{
    const std::int64_t lease = this->grant(seconds(5));
    const std::int64_t revision = this->swap("a", "1", 0, lease).entries.at(0).revision;
    this->swap("a", "2", revision);
    const StoreRequest revoke{.verb = StoreVerb::RevokeLease, .lease = lease};
    EXPECT_EQ(this->execute(revoke).status, StoreStatus::Ok);
    EXPECT_EQ(this->get("a").size(), 1U);
}

TEST_F(StandInStoreTest, WatchReturnsEachChangeOfItsRangeOnceInOrder)
{
    const std::int64_t lease = this->grant(seconds(5));
    const std::int64_t from = this->swap("jobs/1", "a", 0, lease).storeRevision;
    this->swap("other", "x", 0);
    this->swap("jobs/2", "b", 0);
    const StoreWatchResult result = this->store.pollChanges("jobs/", "jobs0", from, start);
    ASSERT_EQ(result.changes.size(), 2U);
    EXPECT_EQ(result.changes[0].entry.key, "jobs/1");
    EXPECT_EQ(result.changes[1].entry.key, "jobs/2");

    // The expiry of a lease is a change, although no call causes it.
    const StoreWatchResult next
        = this->store.pollChanges("jobs/", "jobs0", result.nextRevision, start + seconds(5));
    ASSERT_EQ(next.changes.size(), 1U);
    EXPECT_TRUE(next.changes[0].removed);
    EXPECT_EQ(next.changes[0].entry.key, "jobs/1");
    EXPECT_FALSE(next.broken);
}

TEST_F(StandInStoreTest, WatchFromACompactedRevisionIsBroken)
{
    std::int64_t revision = 0;
    for (std::size_t i = 0; i <= StandInStore::maxHistoryChanges; ++i)
        revision = this->swap("a", "", revision).entries.at(0).revision;
    EXPECT_TRUE(this->store.pollChanges("a", "", 1, start).broken);
    EXPECT_FALSE(this->store.pollChanges("a", "", revision, start).broken);
}

TEST_F(StandInStoreTest, ValueOverOneMebibyteIsRefused)
{
    const std::string largest(StandInStore::maxValueBytes, 'x');
    EXPECT_EQ(this->swap("a", largest, 0).status, StoreStatus::Ok);
    const StoreRequest tooLarge{
        .verb = StoreVerb::CompareAndSwap, .key = "b", .value = largest + "x"};
    EXPECT_EQ(this->store.execute(tooLarge, start).refusal, StoreRefusal::ValueTooLarge);
    EXPECT_TRUE(this->get("b").empty());
}

TEST_F(StandInStoreTest, CallsToADownStoreHaveNoAnswerAndNoEffect)
{
    this->store.setFaults({.down = true});
    EXPECT_EQ(this->swap("a", "1", 0), StoreReply{});
    EXPECT_TRUE(this->store.pollChanges("a", "", 1, start).broken);
    this->store.setFaults({});
    EXPECT_TRUE(this->get("a").empty());
}

TEST_F(StandInStoreTest, WriteWhoseAnswerIsLostTakesEffect)
{
    this->store.setFaults({.loseAnswers = 1});
    EXPECT_TRUE(this->get("a").empty());
    EXPECT_EQ(this->swap("a", "1", 0), StoreReply{});
    EXPECT_EQ(this->get("a").at(0).value, "1");
    EXPECT_EQ(this->swap("a", "2", 0).status, StoreStatus::Conflict);
}

TEST_F(StandInStoreTest, CallsSucceedWhileWatchesAreBroken)
{
    this->store.setFaults({.breakWatches = true});
    EXPECT_EQ(this->swap("a", "1", 0).status, StoreStatus::Ok);
    EXPECT_TRUE(this->store.pollChanges("a", "", 1, start).broken);
    this->store.setFaults({});
    EXPECT_EQ(this->store.pollChanges("a", "", 1, start).changes.size(), 1U);
}

TEST_F(StandInStoreTest, FailedCallsAreCountedToo)
{
    this->get("a");
    this->swap("a", "1", 7);
    this->store.setFaults({.down = true});
    this->swap("a", "1", 0);
    this->store.countWatch();
    EXPECT_EQ(this->store.counters().callCount(StoreVerb::Get), 1U);
    EXPECT_EQ(this->store.counters().callCount(StoreVerb::CompareAndSwap), 2U);
    EXPECT_EQ(this->store.counters().callCount(StoreVerb::List), 0U);
    EXPECT_EQ(this->store.counters().watches, 1U);
}

} // namespace
} // namespace Hibiscus
