#include "FakeStore.h"

#include <Coordination/StoreKeys.h>
#include <Coordination/TermClock.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination::Test {

namespace {

class SilentLogger final : public EventLogger
{
public:
    void logEvent(Runtime::LogKind, std::string_view, const Runtime::LogFields &,
                  TimePoint) override
    {}
};

class TermClockTest : public testing::Test
{
protected:
    TermClockTest()
        : alive(std::make_shared<bool>(true))
        , store(this->clock)
        , view(this->store, "entry-0", this->alive)
        , published(this->view, seconds(1), [](const std::string &, TimePoint) {})
        , termClock(this->view, this->published, this->logger, {}, [](TimePoint) {})
    {}

    void begin(Tasks::TermTimeMs latestKnown)
    {
        this->store.put(StoreKeys::leader, "entry-0");
        this->published.begin(this->store.find(StoreKeys::leader)->revision);
        this->termClock.begin();
        this->clock.run(seconds(1));
        ASSERT_TRUE(this->termClock.isRead());
        this->termClock.start(latestKnown, this->clock.nowMs(), this->clock.now());
    }

    /// Leads for `span`, with regular ticks.
    void lead(Duration span)
    {
        for (Duration led{}; led < span; led += milliseconds(250)) {
            this->clock.run(milliseconds(250));
            this->termClock.advance(this->clock.now());
            this->termClock.update(this->seenRevision, this->clock.nowMs(), this->clock.now());
        }
    }

    Tasks::TermTimeMs reading() const { return this->termClock.reading(this->clock.now()); }

    SimClock clock;
    std::shared_ptr<bool> alive;
    FakeStore store;
    FakeStore::View view;
    SilentLogger logger;
    PublishedKeys published;
    TermClock termClock;
    std::int64_t seenRevision = 0;
};

TEST_F(TermClockTest, CountsTheTimeOfTheTerm)
{
    this->begin(0);
    this->lead(seconds(30));
    EXPECT_EQ(this->reading(), 30'000);
}

TEST_F(TermClockTest, NextLeaderGoesOnWithWhatWasHandedOn)
{
    this->begin(0);
    this->lead(seconds(33));
    this->clock.run(seconds(100));
    this->begin(0);
    EXPECT_EQ(this->reading(), 30'000);
}

TEST_F(TermClockTest, NextLeaderGoesOnWithTheLatestTimeInJobs)
{
    this->begin(0);
    this->lead(seconds(33));
    this->begin(32'500);
    EXPECT_EQ(this->reading(), 32'500);
    this->begin(1'000);
    EXPECT_EQ(this->reading(), 30'000);
}

TEST_F(TermClockTest, StandsStillDuringAPause)
{
    this->begin(0);
    this->lead(seconds(10));
    this->clock.run(std::chrono::hours(1));
    EXPECT_EQ(this->reading(), 11'000);
    this->lead(seconds(5));
    EXPECT_EQ(this->reading(), 16'000 - 250);
}

TEST_F(TermClockTest, NextLeaderKnowsHowOldJobsAre)
{
    this->begin(0);
    this->seenRevision = 10;
    this->lead(seconds(5));
    this->seenRevision = 20;
    this->lead(seconds(31));
    this->begin(0);
    const AgeBounds bounds = this->termClock.ageOf(15, this->clock.now());
    EXPECT_EQ(bounds.least, seconds(25));
    EXPECT_GE(bounds.most, seconds(30));
    EXPECT_LT(bounds.most, seconds(60));
    EXPECT_EQ(this->termClock.ageOf(30, this->clock.now()).least, Duration{});
    EXPECT_EQ(this->termClock.ageOf(5, this->clock.now()).most, maxDuration);
}

TEST_F(TermClockTest, RecordIsReadAsItWasWritten)
{
    const std::optional<TermTimeRecord> record
        = decodeTermTime(encodeTermTime({1'234, 5'678, {{7, 100}, {9, 200}}}));
    ASSERT_TRUE(record);
    EXPECT_EQ(record->termTime, 1'234);
    EXPECT_EQ(record->timeOfDay, 5'678);
    EXPECT_EQ(record->sightings, (std::vector<JobSighting>{{7, 100}, {9, 200}}));
}

TEST_F(TermClockTest, DamagedRecordIsRejected)
{
    EXPECT_FALSE(decodeTermTime(""));
    EXPECT_FALSE(decodeTermTime("[]"));
    EXPECT_FALSE(decodeTermTime(R"({"termTimeMs":-1,"timeOfDayMs":1,"seen":[]})"));
    EXPECT_FALSE(decodeTermTime(R"({"termTimeMs":"1","timeOfDayMs":1,"seen":[]})"));
    EXPECT_FALSE(decodeTermTime(R"({"termTimeMs":1,"seen":[]})"));
    EXPECT_FALSE(decodeTermTime(R"({"termTimeMs":1,"timeOfDayMs":1,"seen":[7]})"));
    EXPECT_FALSE(decodeTermTime(R"({"termTimeMs":1,"timeOfDayMs":1,"seen":[[7,-1]]})"));
}

} // namespace

} // namespace Hibiscus::Coordination::Test
