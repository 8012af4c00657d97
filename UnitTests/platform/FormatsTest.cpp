#include <gtest/gtest.h>
#include <platform/CallerFormat.h>
#include <platform/Formats.h>

namespace Hibiscus::Platform {

namespace {

constexpr const char *settingsText = R"(
node = "edge-1"
zone = "north"
ip = "10.1.0.19"
newField = 7
[listen]
front = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
[limits]
cpuShare = 0.12
cores = 2
linkMbps = 10
[bounds]
holdMaxMs = 5000
graceS = 6
farFactor = 2.5
[platform]
address = "10.200.1.7:8524"
ttlMinMs = 1500
)";

TEST(SettingsFormat, FieldsAreConvertedFromTheirUnits)
{
    const tl::expected<Tasks::SiteSettings, Findings> settings = decodeSettings(settingsText);
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->instance, "edge-1");
    EXPECT_EQ(settings->maxWorkerLease, seconds(5));
    EXPECT_EQ(settings->stopGracePeriod, seconds(6));
    EXPECT_EQ(settings->minStoreLease, milliseconds(1500));
    EXPECT_DOUBLE_EQ(settings->remoteDataFactor, 2.5);
    EXPECT_DOUBLE_EQ(settings->cores, 0.24);
    EXPECT_DOUBLE_EQ(settings->linkMbps, 10.0);
}

TEST(SettingsFormat, EachInvalidSettingIsAFinding)
{
    const tl::expected<Tasks::SiteSettings, Findings> settings
        = decodeSettings("node = 3\n[bounds]\nholdMaxMs = \"long\"\n");
    ASSERT_FALSE(settings);
    const std::string text = settings.error().toString();
    for (const char *place : {"node", "zone", "listen.front", "platform.address", "holdMaxMs"})
        EXPECT_NE(text.find(place), std::string::npos) << place;
    EXPECT_FALSE(decodeSettings("node = "));
}

TEST(ConfigurationFormat, QueuesCustomersAndLimitsAreDecoded)
{
    const auto configuration = decodeConfiguration(R"({"version":7,"extra":{},"routes":[
        {"name":"r","host":"h.example","prefix":"/p/","timeoutMs":3000,"targetLatencyMs":250,
         "priority":0,"backend":"svc","maxAttempts":3,"stretch":1.5,"noAuth":true,
         "advice":{"decideMs":200,"periodMs":5,"validMs":4000}}],
        "limits":{"maxBodyBytes":1000,"idleTimeoutMs":9000},
        "tenants":[{"name":"t","apiKeys":["k1","k2"],"guaranteed":{"gpu":120}}]})");
    ASSERT_TRUE(configuration) << configuration.error().toString();
    EXPECT_EQ(configuration->version, 7);
    ASSERT_EQ(configuration->queues.size(), 1U);
    EXPECT_EQ(configuration->queues[0].service, "svc");
    EXPECT_TRUE(configuration->queues[0].allowsAnonymous);
    EXPECT_EQ(configuration->queues[0].targetLatency, milliseconds(250));
    EXPECT_EQ(configuration->queues[0].permits,
              (Tasks::PermitTerms{milliseconds(200), milliseconds(5), seconds(4)}));
    EXPECT_EQ(configuration->customers[0].guaranteedAccelerators, 120);
    EXPECT_EQ(configuration->limits.bodyBytes, 1000U);
    EXPECT_EQ(configuration->limits.idleTimeout, seconds(9));
}

TEST(ConfigurationFormat, FindingsNameThePathOfFieldsOfWrongType)
{
    const auto configuration
        = decodeConfiguration(R"({"version":"x","routes":[{"name":"r","host":1}]})");
    ASSERT_FALSE(configuration);
    const std::string text = configuration.error().toString();
    EXPECT_NE(text.find("/version"), std::string::npos);
    EXPECT_NE(text.find("/routes/0/host"), std::string::npos);
}

TEST(WorkerEntryFormat, ValidEntryIsDecodedAndMalformedEntriesAreRejected)
{
    const auto entry = decodeWorkerEntry("servers/i-7", R"({"backend":"svc",
        "address":"10.0.0.9:80","zone":"north","state":"draining","clockMs":482113,"born":99,
        "drainRemainingMs":2100,
        "capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],"seq":4})");
    ASSERT_TRUE(entry) << entry.error().toString();
    EXPECT_EQ(entry->id, "i-7");
    EXPECT_TRUE(entry->draining);
    EXPECT_EQ(entry->timeLeft, std::optional<Duration>(milliseconds(2100)));
    EXPECT_EQ(entry->incarnation, 99);
    EXPECT_EQ(entry->capacity, (Tasks::Resources{16000, 32768, 8}));
    EXPECT_FALSE(decodeWorkerEntry("servers/i-8", R"({"backend":"svc","address":"nowhere",
        "state":"ready","capacity":{"cpu":1,"memMb":1}})"));
    EXPECT_FALSE(decodeWorkerEntry("servers/i-8", "\xff\xfe"));
    EXPECT_FALSE(decodeWorkerEntry("servers/i-8", R"({"state":"ready"})"));
    EXPECT_FALSE(decodeWorkerEntry("servers/i-8", R"({"backend":"svc","address":"a:1",
        "state":"resting","capacity":{"cpu":1,"memMb":1}})"));
}

TEST(JobFormat, StepsAndDefaultsOfMissingFieldsAreDecoded)
{
    const auto job = decodeSubmission(R"({"spec":"s","steps":[{"count":4,"cpu":500,"memMb":256,
        "estimateMs":900,"affinity":"r1-3"},{"after":[0],"savesProgress":true,"gpu":2,"gang":true,
        "sameRack":true,"maxPerServer":1},{"perpetual":true,"fills":true,"image":"m","targetMs":250,
        "mayMiss":2}],"repeats":2,"firstMs":5,"intervalMs":4500})");
    ASSERT_TRUE(job) << job.error().toString();
    ASSERT_EQ(job->steps.size(), 3U);
    EXPECT_TRUE(job->steps[2].perpetual);
    EXPECT_TRUE(job->steps[2].bestEffortCpu);
    EXPECT_EQ(job->steps[2].image, "m");
    EXPECT_EQ(job->steps[2].responseTarget, milliseconds(250));
    EXPECT_EQ(job->steps[2].maxUnavailable, 2);
    EXPECT_EQ(job->steps[0].dataRack, "r1-3");
    EXPECT_EQ(job->steps[1].count, 1);
    EXPECT_TRUE(job->steps[1].checkpoints);
    EXPECT_EQ(job->steps[1].need.accelerators, 2);
    EXPECT_EQ(job->repetition.interval, milliseconds(4500));
}

TEST(JobFormat, InvalidStepsAreRejected)
{
    EXPECT_FALSE(decodeSubmission(R"({"steps":[]})"));
    EXPECT_FALSE(decodeSubmission(R"({"steps":[{"after":[0]}]})"));
    EXPECT_FALSE(decodeSubmission(R"({"steps":[{"count":0}]})"));
    EXPECT_FALSE(decodeSubmission(R"({"steps":[{"cpu":"many"}]})"));
    EXPECT_FALSE(decodeSubmission("no json"));
    EXPECT_TRUE(isJobId("5c0e7a21d94b36f8"));
    EXPECT_FALSE(isJobId("5c0e7a21d94b36f"));
    EXPECT_FALSE(isJobId("5c0e7a21d94b36fg"));
}

TEST(JobFormat, PayloadOverTheLimitOfThePagesIsRejected)
{
    const auto submission = [](std::size_t payloadBytes) {
        return R"({"spec":")" + std::string(payloadBytes, 's') + R"(","steps":[{}]})";
    };
    EXPECT_TRUE(decodeSubmission(submission(4000)));
    EXPECT_FALSE(decodeSubmission(submission(4001)));
}

TEST(SettingsFormat, MemoryAndDescriptorsOfTheMachineAreDecoded)
{
    const std::string required = "node=\"e\"\nzone=\"n\"\nip=\"127.0.0.1\"\n[platform]\n"
                                 "address=\"127.0.0.1:1\"\n[listen]\nfront=\"127.0.0.1:2\"\n"
                                 "ready=\"127.0.0.1:3\"\n";
    const auto settings = decodeSettings(required + "[limits]\nmemoryMb=260\nmaxFds=4100\n");
    ASSERT_TRUE(settings) << settings.error().toString();
    EXPECT_EQ(settings->memoryMiB, 260);
    EXPECT_EQ(settings->maxDescriptors, 4100);
    EXPECT_TRUE(decodeSettings(required));
    EXPECT_FALSE(decodeSettings(required + "[limits]\nmemoryMb=0\n"));
    EXPECT_FALSE(decodeSettings(required + "[limits]\nmaxFds=\"many\"\n"));
}

TEST(CallerFormat, CallIsDecodedFromItsRequest)
{
    Runtime::HttpRequest request;
    request.method(boost::beast::http::verb::post);
    request.target("/p/5c0e7a21d94b36f8?x=1");
    request.set("Host", "h.example");
    request.set("Authorization", "Bearer k1");
    request.set("Deadline-Ms", "1200");
    request.body() = "{}";
    const TimePoint now{seconds(5)};
    const auto call = decodeCall(request, seconds(3), now);
    ASSERT_TRUE(call);
    EXPECT_EQ(call->verb, Coordination::CallVerb::Submit);
    EXPECT_EQ(call->path, "/p/5c0e7a21d94b36f8");
    EXPECT_EQ(call->key, "k1");
    EXPECT_EQ(call->deadline, now + milliseconds(1200));
    request.method(boost::beast::http::verb::patch);
    EXPECT_FALSE(decodeCall(request, seconds(3), now));
}

TEST(CallerFormat, RejectionHasRetryAfterRoundedUpToSeconds)
{
    Coordination::ClientReply reply;
    reply.kind = Coordination::ReplyKind::NotRun;
    reply.retryAfter = milliseconds(1200);
    const Runtime::HttpResponse response = encodeReply(reply);
    EXPECT_EQ(response.result_int(), 503U);
    EXPECT_EQ(response["Retry-After"], "2");
}

TEST(CallerFormat, StatesAndPendingCountsAreEncoded)
{
    Coordination::ClientReply reply;
    reply.kind = Coordination::ReplyKind::State;
    reply.state = Tasks::JobState::Completed;
    EXPECT_EQ(encodeReply(reply).body(), R"({"state":"completed"})");
    reply.kind = Coordination::ReplyKind::Pending;
    reply.pending = 12;
    EXPECT_EQ(encodeReply(reply).body(), R"({"pending":12})");
    reply.kind = Coordination::ReplyKind::Undecided;
    EXPECT_EQ(encodeReply(reply).result_int(), 504U);
}

} // namespace

} // namespace Hibiscus::Platform
