#include <Coordination/TrackedJobTable.h>

#include <gtest/gtest.h>

namespace Hibiscus::Coordination {

namespace {

using Tasks::EndCause;
using Tasks::JobState;
using Tasks::RunRef;

constexpr Tasks::UnixMs now = 1'700'000'000'000;

/// A job of one gang of two tasks with two attempts.
class TrackedJobTableTest : public testing::Test
{
protected:
    TrackedJobTableTest()
    {
        Tasks::Job job;
        job.id = "a";
        job.maxAttempts = 2;
        job.steps.resize(1);
        job.steps[0].count = 2;
        job.steps[0].gang = true;
        this->job = &this->table.add(job, std::nullopt);
    }

    void assignBoth(const std::string &worker)
    {
        for (const std::int32_t index : {0, 1})
            TrackedJobTable::assign(*this->job, {0, 0, index}, worker, 1000);
    }

    JobUpdate end(std::int32_t index, std::int32_t run, EndCause cause)
    {
        return TrackedJobTable::endRun(*this->job, {"a", {0, 0, index}, run}, cause, "", now);
    }

    TrackedJobTable table;
    TrackedJob *job = nullptr;
};

TEST_F(TrackedJobTableTest, GangWhoseEarlierRunEndedAsDoneIsDoneAndItsCurrentRunIsStopped)
{
    this->assignBoth("worker-0");
    this->end(0, 1, EndCause::LeaseExpired);
    this->end(1, 1, EndCause::LeaseExpired);
    this->assignBoth("worker-1");
    const JobUpdate update = this->end(1, 1, EndCause::Done);
    EXPECT_TRUE(update.changed);
    EXPECT_EQ(this->job->progress.state, JobState::Completed);
    const std::vector<RunRef> expected{{"a", {0, 0, 0}, 2}, {"a", {0, 0, 1}, 2}};
    EXPECT_EQ(update.runsToStop, expected);
    EXPECT_FALSE(this->end(0, 1, EndCause::Done).changed);
    EXPECT_FALSE(this->end(0, 2, EndCause::Stopped).changed);
    EXPECT_TRUE(this->job->progress.areAllTasksDone());
}

TEST_F(TrackedJobTableTest, FailureOfAnEarlierRunCountsOnceAsAnAttempt)
{
    this->assignBoth("worker-0");
    this->end(0, 1, EndCause::LeaseExpired);
    this->end(1, 1, EndCause::LeaseExpired);
    this->assignBoth("worker-1");
    EXPECT_TRUE(this->end(0, 1, EndCause::Failed).changed);
    EXPECT_FALSE(this->end(1, 1, EndCause::Failed).changed);
    EXPECT_EQ(this->job->progress.state, JobState::Running);
    this->end(0, 2, EndCause::Failed);
    EXPECT_EQ(this->job->progress.state, JobState::Failed);
}

} // namespace

} // namespace Hibiscus::Coordination
