#include <Hibiscusctl/ApiRequest.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {
namespace {

using nlohmann::json;

const std::string jobsPath = "/v1/jobs";
constexpr milliseconds maxPollWait(30000);

std::string jobPath(std::string_view requestId)
{
    return jobsPath + "/" + std::string(requestId);
}

ApiRequest buildSubmit(const Command &command, std::string_view fileText,
                       std::string_view generatedId)
{
    SubmitBody body = command.submit;
    if (body.spec.requestId.empty())
        body.spec.requestId = generatedId;
    if (!command.payloadFile.empty())
        body.spec.payload = fileText;
    return {HttpMethod::Post, jobsPath, toJson(body)};
}

ApiRequest buildChange(const Command &command, const char *operation, json value,
                       std::string_view generatedId)
{
    json body{{operation, std::move(value)}};
    body["changeId"] = command.changeId.empty() ? std::string(generatedId) : command.changeId;
    if (command.basedOn)
        body["basedOn"] = *command.basedOn;
    return {HttpMethod::Post, "/v1/changes", body.dump()};
}

tl::expected<ApiRequest, Findings> buildPut(const Command &command, const char *operation,
                                            std::string_view fileText, std::string_view generatedId)
{
    json value = json::parse(fileText, nullptr, false);
    if (!value.is_discarded())
        return buildChange(command, operation, std::move(value), generatedId);
    Findings findings;
    findings.add(command.argument, "is not JSON");
    return tl::unexpected(std::move(findings));
}

} // namespace

tl::expected<ApiRequest, Findings> buildRequest(const Command &command, std::string_view fileText,
                                                std::string_view generatedId)
{
    switch (command.kind) {
    case CommandKind::Submit:
        return buildSubmit(command, fileText, generatedId);
    case CommandKind::Status:
        return ApiRequest{HttpMethod::Get, jobPath(command.argument), ""};
    case CommandKind::Wait:
        return buildWaitRequest(command.argument);
    case CommandKind::Cancel:
        return ApiRequest{HttpMethod::Delete, jobPath(command.argument), ""};
    case CommandKind::CustomerPut:
        return buildPut(command, "putCustomer", fileText, generatedId);
    case CommandKind::CustomerRemove:
        return buildChange(command, "removeCustomer", command.argument, generatedId);
    case CommandKind::PresetPut:
        return buildPut(command, "putPreset", fileText, generatedId);
    case CommandKind::PresetSwitch:
        return buildChange(command, "switchPreset", command.argument, generatedId);
    case CommandKind::PresetRemove:
        return buildChange(command, "removePreset", command.argument, generatedId);
    case CommandKind::CustomerList:
    case CommandKind::PresetList:
        return ApiRequest{HttpMethod::Get, "/v1/configuration", ""};
    case CommandKind::Show:
        return ApiRequest{HttpMethod::Get, "/v1/status", ""};
    case CommandKind::Drain:
        return ApiRequest{HttpMethod::Post, "/v1/drain", ""};
    case CommandKind::Help:
    case CommandKind::Version:
    case CommandKind::Key:
    case CommandKind::Explain:
        break;
    }
    Findings findings;
    findings.add("command", "makes no call to an instance");
    return tl::unexpected(std::move(findings));
}

ApiRequest buildWaitRequest(std::string_view requestId)
{
    const std::string wait = "?waitMs=" + std::to_string(maxPollWait.count());
    return {HttpMethod::Get, jobPath(requestId) + wait, ""};
}

} // namespace Hibiscus
