#include <Hibiscusctl/ApiClient.h>
#include <Hibiscusctl/Outcome.h>

#include <gtest/gtest.h>
#include <httplib.h>
#include <mutex>
#include <thread>

namespace Hibiscus {
namespace {

/// An instance that returns scripted replies in order and records the requests.
class ScriptedInstance
{
public:
    explicit ScriptedInstance(std::vector<ApiReply> replies)
        : replies(std::move(replies))
    {
        const auto handler = [this](const httplib::Request &request, httplib::Response &response) {
            this->answer(request, response);
        };
        this->server.Get(".*", handler);
        this->server.Post(".*", handler);
        this->port = this->server.bind_to_any_port("127.0.0.1");
        this->thread = std::thread([this] { this->server.listen_after_bind(); });
    }

    ~ScriptedInstance()
    {
        // A stop before the server runs would be lost.
        while (!this->server.is_running())
            std::this_thread::yield();
        this->server.stop();
        this->thread.join();
    }

    ScriptedInstance(const ScriptedInstance &) = delete;
    ScriptedInstance &operator=(const ScriptedInstance &) = delete;

    Command command(CommandKind kind) const
    {
        Command command;
        command.kind = kind;
        command.host = "127.0.0.1";
        command.port = static_cast<std::uint16_t>(this->port);
        command.key = "lab.secret";
        command.retryFor = seconds(60);
        command.submit.spec.kind = "recalculation";
        command.submit.wait = true;
        return command;
    }

    std::vector<httplib::Request> requests()
    {
        const std::lock_guard lock(this->mutex);
        return this->receivedRequests;
    }

private:
    void answer(const httplib::Request &request, httplib::Response &response)
    {
        const std::lock_guard lock(this->mutex);
        this->receivedRequests.push_back(request);
        ASSERT_LE(this->receivedRequests.size(), this->replies.size());
        const ApiReply &reply = this->replies[this->receivedRequests.size() - 1];
        response.status = reply.status;
        response.set_content(reply.body, "application/json");
    }

    std::mutex mutex;
    std::vector<ApiReply> replies;
    std::vector<httplib::Request> receivedRequests;
    httplib::Server server;
    int port = 0;
    std::thread thread;
};

ApiReply jobReply(int httpStatus, JobStatus status)
{
    return {httpStatus, toJson(AnswerBody{"r-1", {status, "", "", {}}}), {}};
}

ApiReply run(const Command &command)
{
    ApiClient client(command);
    return client.run(*buildRequest(command, "", "r-1"));
}

TEST(ApiClient, RetriedSubmissionKeepsItsIdAndIsMarkedAsRetry)
{
    ScriptedInstance instance({jobReply(503, JobStatus::NotRun), jobReply(503, JobStatus::Unknown),
                               jobReply(200, JobStatus::Done)});
    EXPECT_EQ(run(instance.command(CommandKind::Submit)).status, 200);
    const auto requests = instance.requests();
    ASSERT_EQ(requests.size(), 3U);
    std::vector<bool> retries;
    for (const httplib::Request &request : requests) {
        const auto body = parseSubmitBody(request.body);
        ASSERT_TRUE(body);
        EXPECT_EQ(body->spec.requestId, "r-1");
        EXPECT_EQ(request.get_header_value("Authorization"), "Bearer lab.secret");
        retries.push_back(body->retry);
    }
    // The first reply states that the job did not run, so only the retry after the second one is
    // marked.
    EXPECT_EQ(retries, (std::vector<bool>{false, false, true}));
}

TEST(ApiClient, WaitContinuesUntilTheJobHasEnded)
{
    ScriptedInstance instance({jobReply(202, JobStatus::Accepted),
                               jobReply(202, JobStatus::Running), jobReply(503, JobStatus::Unknown),
                               jobReply(200, JobStatus::Done)});
    const ApiReply reply = run(instance.command(CommandKind::Submit));
    EXPECT_EQ(exitCodeOf(CommandKind::Submit, reply), ExitCode::Success);
    const auto requests = instance.requests();
    ASSERT_EQ(requests.size(), 4U);
    EXPECT_EQ(requests[0].path, "/v1/jobs");
    EXPECT_EQ(requests[3].path, "/v1/jobs/r-1");
    EXPECT_EQ(requests[3].get_param_value("waitMs"), "30000");
}

TEST(ApiClient, RefusalIsNotRetriedAndNoWaitReturnsAtOnce)
{
    ScriptedInstance instance(
        {jobReply(429, JobStatus::NotRun), jobReply(202, JobStatus::Accepted)});
    Command command = instance.command(CommandKind::Submit);
    EXPECT_EQ(run(command).status, 429);
    command.submit.wait = false;
    EXPECT_EQ(run(command).status, 202);
    EXPECT_EQ(instance.requests().size(), 2U);
}

TEST(ApiClient, UnreachableInstanceIsReportedAsUnavailable)
{
    Command command;
    {
        const ScriptedInstance instance({});
        command = instance.command(CommandKind::Show);
    }
    command.retryFor = seconds(0);
    EXPECT_EQ(exitCodeOf(command.kind, run(command)), ExitCode::Unavailable);
}

} // namespace
} // namespace Hibiscus
