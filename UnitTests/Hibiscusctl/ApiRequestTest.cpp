#include <Config/ConfigurationJson.h>
#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/Outcome.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

ConfigChange readChange(const Command &command, std::string_view file = "")
{
    const auto request = buildRequest(command, file, "fresh");
    EXPECT_TRUE(request);
    EXPECT_EQ(request->method, HttpMethod::Post);
    EXPECT_EQ(request->path, "/v1/changes");
    const auto change = parseConfigChange(request->body, "operator");
    EXPECT_TRUE(change) << change.error().toString();
    return change.value_or(ConfigChange());
}

Command command(CommandKind kind, const std::string &argument)
{
    Command result;
    result.kind = kind;
    result.argument = argument;
    return result;
}

TEST(ApiRequest, ServerParsesASubmissionAsGivenOnTheCommandLine)
{
    Command submit = command(CommandKind::Submit, "");
    submit.submit.spec.kind = "recalculation";
    submit.submit.spec.deadline = seconds(3);
    submit.submit.wait = true;
    submit.payloadFile = "dose.txt";
    const auto request = buildRequest(submit, "five sacks", "fresh");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->path, "/v1/jobs");
    const auto body = parseSubmitBody(request->body);
    ASSERT_TRUE(body) << body.error().toString();
    JobSpec expected = submit.submit.spec;
    expected.requestId = "fresh";
    expected.payload = "five sacks";
    EXPECT_EQ(body->spec, expected);
    EXPECT_TRUE(body->wait);
    EXPECT_FALSE(body->retry);
}

TEST(ApiRequest, ServerParsesEachChangeAsGivenOnTheCommandLine)
{
    Command change = command(CommandKind::PresetSwitch, "peak");
    change.changeId = "c-7";
    change.basedOn = 12;
    const ConfigChange switched = readChange(change);
    EXPECT_EQ(switched.changeId, "c-7");
    EXPECT_EQ(switched.basedOn, 12U);
    EXPECT_EQ(std::get<SwitchPreset>(switched.operation).name, "peak");

    const ConfigChange removed = readChange(command(CommandKind::CustomerRemove, "parks"));
    EXPECT_EQ(removed.changeId, "fresh");
    EXPECT_FALSE(removed.basedOn);
    EXPECT_EQ(std::get<RemoveCustomer>(removed.operation).name, "parks");
    EXPECT_EQ(
        std::get<RemovePreset>(readChange(command(CommandKind::PresetRemove, "peak")).operation)
            .name,
        "peak");

    Customer customer;
    customer.name = "parks";
    const ConfigChange put
        = readChange(command(CommandKind::CustomerPut, "parks.json"), toJson(customer));
    EXPECT_EQ(std::get<PutCustomer>(put.operation).customer, customer);
}

TEST(ApiRequest, FileThatIsNotJsonIsReportedByItsName)
{
    const auto request = buildRequest(command(CommandKind::PresetPut, "peak.json"), "{", "fresh");
    ASSERT_FALSE(request);
    EXPECT_EQ(request.error().all().front().location, "peak.json");
}

TEST(ApiRequest, JobRequestsUseTheJobsId)
{
    EXPECT_EQ(*buildRequest(command(CommandKind::Status, "r-1"), "", ""),
              (ApiRequest{HttpMethod::Get, "/v1/jobs/r-1", ""}));
    EXPECT_EQ(*buildRequest(command(CommandKind::Cancel, "r-1"), "", ""),
              (ApiRequest{HttpMethod::Delete, "/v1/jobs/r-1", ""}));
    EXPECT_EQ(buildRequest(command(CommandKind::Wait, "r-1"), "", "")->path,
              "/v1/jobs/r-1?waitMs=30000");
}

ApiReply jobReply(int httpStatus, JobStatus status)
{
    return {httpStatus, toJson(AnswerBody{"r-1", {status, "", "", {}}}), {}};
}

TEST(Outcome, EachJobStatusHasItsExitCode)
{
    const auto code = [](CommandKind kind, JobStatus status) {
        return exitCodeOf(kind, jobReply(200, status));
    };
    EXPECT_EQ(code(CommandKind::Wait, JobStatus::Done), ExitCode::Success);
    EXPECT_EQ(code(CommandKind::Submit, JobStatus::Accepted), ExitCode::Success);
    EXPECT_EQ(code(CommandKind::Submit, JobStatus::NotRun), ExitCode::Refused);
    EXPECT_EQ(code(CommandKind::Wait, JobStatus::Failed), ExitCode::Failed);
    EXPECT_EQ(code(CommandKind::Wait, JobStatus::Cancelled), ExitCode::Failed);
    EXPECT_EQ(code(CommandKind::Cancel, JobStatus::Cancelled), ExitCode::Success);
    EXPECT_EQ(code(CommandKind::Cancel, JobStatus::NotRun), ExitCode::Success);
    EXPECT_EQ(code(CommandKind::Status, JobStatus::Unknown), ExitCode::Unavailable);
    EXPECT_EQ(code(CommandKind::Status, JobStatus::OutcomeUnknown), ExitCode::Unavailable);
}

TEST(Outcome, EachReplyToAChangeHasItsExitCode)
{
    const auto code = [](int httpStatus) {
        return exitCodeOf(CommandKind::PresetSwitch, {httpStatus, "{}", {}});
    };
    EXPECT_EQ(code(200), ExitCode::Success);
    EXPECT_EQ(code(400), ExitCode::Refused);
    EXPECT_EQ(code(401), ExitCode::Refused);
    EXPECT_EQ(code(403), ExitCode::Refused);
    EXPECT_EQ(code(409), ExitCode::Conflict);
    EXPECT_EQ(code(503), ExitCode::Unavailable);
    EXPECT_EQ(code(0), ExitCode::Unavailable);
}

TEST(Outcome, OnlyCallsWithoutAnAnswerAreRetried)
{
    EXPECT_TRUE(isWorthRetrying({0, "", {}}));
    EXPECT_TRUE(isWorthRetrying({503, "{}", {}}));
    for (const int status : {200, 202, 400, 401, 403, 404, 409, 429})
        EXPECT_FALSE(isWorthRetrying({status, "{}", {}})) << status;
    EXPECT_TRUE(reportsNotRun(jobReply(503, JobStatus::NotRun)));
    EXPECT_FALSE(reportsNotRun({0, "", {}}));
    EXPECT_TRUE(isUnfinishedJob(jobReply(202, JobStatus::Running)));
    EXPECT_FALSE(isUnfinishedJob(jobReply(200, JobStatus::Done)));
    EXPECT_FALSE(isUnfinishedJob({202, R"({"reason":"draining"})", {}}));
}

} // namespace
} // namespace Hibiscus
