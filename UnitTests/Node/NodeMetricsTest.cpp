#include <Node/NodeMetrics.h>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace Hibiscus::Node {

namespace {

using Coordination::CallVerb;
using Coordination::ClientReply;
using Coordination::ReplyKind;

class NodeMetricsTest : public testing::Test
{
protected:
    ~NodeMetricsTest() override { close(this->sink); }

    std::string metricsText(const NodeMetrics::Readings &readings = {}) const
    {
        return this->metrics.toPrometheusText(readings, this->logger);
    }

    bool hasLine(const std::string &line) const
    {
        return ("\n" + this->metricsText()).find("\n" + line + "\n") != std::string::npos;
    }

    int sink = open("/dev/null", O_WRONLY);
    ProcessEventLogger logger{{.instance = "entry-1", .descriptor = this->sink}};
    NodeMetrics metrics;
};

TEST_F(NodeMetricsTest, RepliesAreCountedByCustomerQueueAndOutcome)
{
    ClientReply reply;
    reply.kind = ReplyKind::Accepted;
    reply.customer = "parks";
    reply.queue = "doses";
    this->metrics.recordAnswer(CallVerb::Submit, reply, milliseconds(3));
    this->metrics.recordAnswer(CallVerb::Submit, reply, milliseconds(30));
    reply.kind = ReplyKind::NotRun;
    this->metrics.recordAnswer(CallVerb::Submit, reply, milliseconds(1));
    const std::string labels = R"({customer="parks",queue="doses",call="submit")";
    EXPECT_TRUE(this->hasLine("hibiscus_answers_total" + labels + R"(,outcome="accepted"} 2)"));
    EXPECT_TRUE(this->hasLine("hibiscus_answers_total" + labels + R"(,outcome="not run"} 1)"));
    EXPECT_TRUE(this->hasLine("hibiscus_answer_seconds_bucket" + labels + R"(,le="0.004"} 2)"))
        << this->metricsText();
    EXPECT_TRUE(this->hasLine("hibiscus_answer_seconds_count" + labels + "} 3"));
}

TEST_F(NodeMetricsTest, ClosedConnectionsAreCountedByReason)
{
    NodeMetrics::Readings readings;
    readings.closedConnections[static_cast<std::size_t>(Runtime::CloseReason::MemoryLimit)] = 3;
    EXPECT_NE(this->metricsText(readings).find(
                  "hibiscus_caller_connections_closed_total{reason=\"memory limit\"} 3\n"),
              std::string::npos);
}

TEST_F(NodeMetricsTest, SpeedsAreShownByService)
{
    NodeMetrics::Readings readings;
    readings.speeds["blend"] = {.known = 12, .slowest = 1.5, .fastest = 0.5, .differs = true};
    const std::string text = this->metricsText(readings);
    EXPECT_NE(text.find(R"(hibiscus_known_worker_speeds{service="blend"} 12)"), std::string::npos);
    EXPECT_NE(text.find(R"(hibiscus_workers_differ_in_speed{service="blend"} 1)"),
              std::string::npos);
    EXPECT_NE(text.find(R"(hibiscus_fast_worker_slowness{service="blend"} 0.5)"),
              std::string::npos);
    EXPECT_NE(text.find(R"(hibiscus_slow_worker_slowness{service="blend"} 1.5)"),
              std::string::npos);
}

TEST_F(NodeMetricsTest, JobTimesAreRecordedByFinalState)
{
    Tasks::Job job;
    job.customer = "parks";
    job.queue = "doses";
    this->metrics.recordFinishedJob(job, Tasks::JobState::Completed, seconds(4));
    EXPECT_TRUE(this->hasLine(
        R"(hibiscus_job_seconds_sum{customer="parks",queue="doses",end="completed"} 4)"));
}

TEST_F(NodeMetricsTest, UnknownAgesAreOmitted)
{
    EXPECT_EQ(this->metricsText().find("hibiscus_configuration_age_seconds"), std::string::npos);
    NodeMetrics::Readings readings;
    readings.configurationAge = milliseconds(1500);
    EXPECT_NE(this->metricsText(readings).find("hibiscus_configuration_age_seconds 1.5\n"),
              std::string::npos);
}

TEST_F(NodeMetricsTest, NumberOfSeriesIsBounded)
{
    ClientReply reply;
    for (int i = 0; i < 2000; i++) {
        reply.queue = "queue-" + std::to_string(i);
        this->metrics.recordAnswer(CallVerb::Status, reply, milliseconds(1));
    }
    EXPECT_LT(this->metricsText().size(), std::size_t{1024} * 1024);
    // Replies without a series of their own are counted in a common series.
    EXPECT_TRUE(
        this->hasLine(R"(hibiscus_answer_seconds_count{customer="",queue="",call=""} 1600)"));
}

} // namespace

} // namespace Hibiscus::Node
