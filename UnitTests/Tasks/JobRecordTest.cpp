#include <Tasks/JobRecord.h>

#include <gtest/gtest.h>

namespace Hibiscus::Tasks {

namespace {

Job sampleJob()
{
    Job job;
    job.id = "00000000000000ab";
    job.queue = "urgent";
    job.service = "blend";
    job.customer = "parks";
    job.maxAttempts = 3;
    job.stretch = 1.5;
    job.targetLatency = milliseconds(250);
    job.acceptedAt = 1'700'000'000'000;
    job.payload = "text with \"quotes\" and \xc3\xa9";
    Step first;
    first.count = 2;
    first.need = {500, 256, 4};
    first.estimate = milliseconds(900);
    first.gang = true;
    first.sameRack = true;
    first.dataRack = "r1-3";
    Step second;
    second.count = 3;
    second.after = {0};
    second.checkpoints = true;
    second.estimate = seconds(2);
    second.maxPerWorker = 1;
    second.requiredLabel = "kind-a";
    job.steps = {first, second};
    job.repetition = {2, 1'700'000'005'000, milliseconds(4500)};
    return job;
}

TEST(JobRecord, JobRoundTripsThroughItsRecord)
{
    const Job job = sampleJob();
    const tl::expected<Job, std::string> read = decodeJob(encodeJob(job));
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(encodeJob(*read), encodeJob(job));
    EXPECT_EQ(read->payload, job.payload);
    EXPECT_EQ(read->steps[1].after, job.steps[1].after);
    EXPECT_EQ(read->occurrences(), 2);
}

TEST(JobRecord, BeginOfTheFinalStateIsReadAsItWasWritten)
{
    const Job job = sampleJob();
    JobProgress progress(job);
    progress.state = JobState::Completed;
    progress.finalSince = 123'456;
    const tl::expected<JobProgress, std::string> read
        = decodeProgress(encodeProgress(progress), job);
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(*read, progress);
}

TEST(JobRecord, RecordWithoutTheBeginOfTheFinalStateIsRead)
{
    const Job job = sampleJob();
    const JobProgress progress(job);
    const tl::expected<JobProgress, std::string> read
        = decodeProgress(encodeProgress(progress), job);
    ASSERT_TRUE(read) << read.error();
    EXPECT_FALSE(read->finalSince);
}

TEST(JobRecord, ProgressRoundTripsThroughItsRecord)
{
    const Job job = sampleJob();
    JobProgress progress(job);
    progress.state = JobState::Running;
    progress.anyTaskBegun = true;
    TaskProgress &task = progress.task({1, 1, 2});
    task.state = TaskState::Assigned;
    task.run = 3;
    task.failures = 1;
    task.lastFailedRun = 2;
    task.worker = "i-1";
    task.incarnation = 77;
    task.checkpoint = "0a";
    const tl::expected<JobProgress, std::string> read
        = decodeProgress(encodeProgress(progress), job);
    ASSERT_TRUE(read) << read.error();
    EXPECT_EQ(*read, progress);
    EXPECT_EQ(decodeProgressState(encodeProgress(progress)).value(), JobState::Running);
}

TEST(JobRecord, MalformedTextIsRejected)
{
    EXPECT_FALSE(decodeJob("{"));
    EXPECT_FALSE(decodeJob("{\"id\":1}"));
    EXPECT_FALSE(decodeProgress("[]", sampleJob()));
    EXPECT_FALSE(decodeProgressState("null"));
}

TEST(JobRecord, AssignedTaskDoesNotCountAsBegun)
{
    JobProgress progress(sampleJob());
    progress.task({0, 0, 0}).state = TaskState::Assigned;
    progress.task({0, 0, 0}).run = 1;
    EXPECT_FALSE(decodeProgress(encodeProgress(progress), sampleJob())->anyTaskBegun);
}

TEST(JobRecord, ProgressWithoutTheMarkOfBegunTasksCountsAssignedTasksAsBegun)
{
    JobProgress progress(sampleJob());
    const auto withoutMark = [&progress] {
        std::string text = encodeProgress(progress);
        const std::string mark = R"("begun":false,)";
        text.erase(text.find(mark), mark.size());
        return text;
    };
    EXPECT_FALSE(decodeProgress(withoutMark(), sampleJob())->anyTaskBegun);
    progress.task({0, 0, 0}).run = 1;
    EXPECT_TRUE(decodeProgress(withoutMark(), sampleJob())->anyTaskBegun);
}

TEST(JobProgress, ContainsOnlyTasksOfTheJob)
{
    const JobProgress progress(sampleJob());
    EXPECT_TRUE(progress.contains({1, 1, 2}));
    EXPECT_FALSE(progress.contains({2, 0, 0}));
    EXPECT_FALSE(progress.contains({0, 2, 0}));
    EXPECT_FALSE(progress.contains({0, 0, 2}));
    EXPECT_FALSE(progress.contains({0, 0, -1}));
    for (std::size_t i = 0; i < progress.taskCount(); i++)
        EXPECT_TRUE(progress.contains(progress.refAt(i)));
}

TEST(Job, ObjectiveIsCriticalPathTimesStretchPlusTargetLatency)
{
    const Job job = sampleJob();
    EXPECT_EQ(job.criticalPath(), milliseconds(2900));
    EXPECT_EQ(job.objective(job.criticalPath()), milliseconds(4350 + 250));
    EXPECT_EQ(job.dueAt(1), job.repetition.first + 4500);
}

/// The record of the sample job with the first occurrence of `part` replaced.
std::string recordWith(const std::string &part, const std::string &replacement)
{
    std::string text = encodeJob(sampleJob());
    const std::size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), replacement);
}

TEST(JobRecord, JobsWhoseStepsCanNotBeIndexedAreNotRead)
{
    EXPECT_TRUE(decodeJob(recordWith("parks", "parks")));
    EXPECT_FALSE(decodeJob(recordWith(R"("follows":[0])", R"("follows":[1])")));
    EXPECT_FALSE(decodeJob(recordWith(R"("follows":[0])", R"("follows":[-1])")));
    EXPECT_FALSE(decodeJob(recordWith(R"("count":2)", R"("count":0)")));
    EXPECT_FALSE(decodeJob(recordWith(R"("count":2)", R"("count":-2)")));
    EXPECT_FALSE(decodeJob(recordWith(R"("times":2)", R"("times":2000000000)")));
    const std::string levels(100'000, '[');
    EXPECT_FALSE(decodeJob(recordWith(R"("follows":[0])", R"("follows":)" + levels)));
}

TEST(JobRecord, UnknownStatesAreNotRead)
{
    const Job job = sampleJob();
    JobProgress progress(job);
    progress.task({0, 0, 0}).state = TaskState::Failed;
    std::string text = encodeProgress(progress);
    ASSERT_TRUE(decodeProgress(text, job));
    std::string task = text;
    task.replace(task.find("[[4,"), 4, "[[5,");
    EXPECT_FALSE(decodeProgress(task, job));
    for (const char *state : {"5", "-1", "256", "18446744073709551615", "1e30", "\"done\""}) {
        const std::string odd = R"({"record":1,"state":)" + std::string(state) + "}";
        EXPECT_FALSE(decodeProgressState(odd)) << state;
    }
}

} // namespace

} // namespace Hibiscus::Tasks
