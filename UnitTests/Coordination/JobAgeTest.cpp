#include "ClusterTest.h"

#include <Coordination/JobAgeClock.h>

// How long the leader takes jobs to have waited, which orders their starts. The times of day of the
// accepting instances and of leaders may be off.
namespace Hibiscus::Coordination::Test {

namespace {

constexpr Duration hour = std::chrono::hours(1);

TEST(JobSightings, AgeIsBetweenTheSightingsAroundTheJob)
{
    JobSightings sightings;
    sightings.add({10, 5'000});
    sightings.add({20, 10'000});
    const AgeBounds bounds = sightings.ageOf(15, 12'000);
    EXPECT_EQ(bounds.least, seconds(2));
    EXPECT_EQ(bounds.likely, seconds(7));
    EXPECT_GT(bounds.most, seconds(7));
    EXPECT_EQ(sightings.ageOf(20, 12'000).least, seconds(2));
    EXPECT_EQ(sightings.ageOf(21, 12'000).least, Duration{});
}

TEST(JobSightings, ManySightingsStayFewAndKeepTheOldest)
{
    JobSightings sightings;
    for (std::int64_t i = 1; i <= 10'000; i++)
        sightings.add({10 * i, 5'000 * i});
    EXPECT_LE(sightings.all().size(), 32U);
    EXPECT_EQ(sightings.all().front(), (JobSighting{10, 5'000}));
    EXPECT_EQ(sightings.all().back(), (JobSighting{100'000, 50'000'000}));
}

TEST(JobAgeClock, StatedAgeCountsOnlyWithinItsBounds)
{
    const AgeBounds bounds{seconds(2), seconds(7), seconds(22)};
    EXPECT_EQ(JobAgeClock::ageOf(seconds(9), bounds), seconds(9));
    EXPECT_EQ(JobAgeClock::ageOf(-hour, bounds), seconds(7));
    EXPECT_EQ(JobAgeClock::ageOf(hour, bounds), seconds(7));
}

} // namespace

/// One worker, which one job fills, so that the others wait in their order.
class JobAge : public ClusterTest
{
protected:
    JobAge()
        : ClusterTest(3, 1)
    {}

    void SetUp() override
    {
        this->leading = this->cluster.leader();
        this->early = this->follower();
        for (const auto &[name, instance] : this->cluster.instances) {
            if (name != this->leading && name != this->early)
                this->late = name;
        }
    }

    void acceptWholeWorker(const std::string &instance, std::uint32_t number)
    {
        this->acceptAt(instance, number, jobBody("4000", 1, 8));
    }

    /// The first of the two jobs that is completed; 0 if none is.
    std::uint32_t firstCompleted(std::uint32_t one, std::uint32_t other)
    {
        for (int i = 0; i < 600; i++) {
            if (this->cluster.isCompleted(jobId(one)))
                return one;
            if (this->cluster.isCompleted(jobId(other)))
                return other;
            this->cluster.run(milliseconds(100));
        }
        return 0;
    }

    std::string leading;
    std::string early; ///< The follower that accepts the first of the waiting jobs.
    std::string late; ///< The one that accepts the second.
};

class JobAgeByClocks : public JobAge, public testing::WithParamInterface<Duration>
{};

// Guards against jobs that wait behind later ones, or count as too old to be of use, since the
// instance that accepted them had a wrong time of day.
TEST_P(JobAgeByClocks, JobsStartInTheOrderOfTheirAcceptance)
{
    this->cluster.clockErrors[this->early] = GetParam();
    this->acceptWholeWorker(this->leading, 1);
    this->cluster.run(milliseconds(200));
    this->acceptWholeWorker(this->early, 2);
    this->cluster.run(milliseconds(500));
    this->acceptWholeWorker(this->late, 3);
    EXPECT_EQ(this->firstCompleted(2, 3), 2U);
}

INSTANTIATE_TEST_SUITE_P(Errors, JobAgeByClocks,
                         testing::Values<Duration>(-hour, -seconds(5), -milliseconds(2400),
                                                   milliseconds(2400), seconds(5), hour));

class JobAgeByLargeErrors : public JobAge, public testing::WithParamInterface<Duration>
{};

// The same after a change of leaders. The next leader knows ages less precisely, so the errors are
// large.
TEST_P(JobAgeByLargeErrors, JobsStartInTheOrderOfTheirAcceptanceUnderTheNextLeader)
{
    this->cluster.clockErrors[this->early] = GetParam();
    this->acceptAt(this->leading, 1, jobBody("30000", 1, 8));
    this->cluster.run(seconds(6));
    this->acceptWholeWorker(this->early, 2);
    this->cluster.run(seconds(6));
    this->acceptWholeWorker(this->late, 3);
    this->cluster.run(seconds(6));
    this->cluster.killInstance(this->leading);
    EXPECT_EQ(this->firstCompleted(2, 3), 2U);
}

INSTANTIATE_TEST_SUITE_P(Errors, JobAgeByLargeErrors, testing::Values<Duration>(-hour, hour));

// Guards against a leader that takes all jobs for too old when its own time of day jumps.
TEST_F(JobAge, JumpOfTheLeadersTimeOfDayMakesNoJobOlder)
{
    this->acceptWholeWorker(this->leading, 1);
    this->cluster.run(milliseconds(200));
    this->acceptWholeWorker(this->early, 2);
    this->cluster.clockErrors[this->leading] = hour;
    this->cluster.run(milliseconds(500));
    this->acceptWholeWorker(this->late, 3);
    EXPECT_EQ(this->firstCompleted(2, 3), 2U);
    const RecordingEventLogger &log = this->cluster.instances.at(this->leading)->logger;
    for (const std::string &line : log.events) {
        if (line.starts_with("run assigned ")) {
            const auto fields = nlohmann::json::parse(line.substr(line.find('{')));
            EXPECT_GE(fields.at("waitedMs").get<std::int64_t>(), 0) << line;
            EXPECT_LT(fields.at("waitedMs").get<std::int64_t>(), 60'000) << line;
        }
    }
}

} // namespace Hibiscus::Coordination::Test
