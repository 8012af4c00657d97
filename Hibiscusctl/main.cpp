#include <Config/Authenticator.h>
#include <Hibiscusctl/ApiClient.h>
#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/CheckReport.h>
#include <Hibiscusctl/CommandLine.h>
#include <Hibiscusctl/Explain.h>
#include <Hibiscusctl/Outcome.h>
#include <Hibiscusctl/Tables.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Hibiscus {
namespace {

constexpr const char *version = "hibiscusctl 0.1.0";

tl::expected<std::string, Findings> readFile(const std::string &name)
{
    std::ifstream file(name, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (file && !file.bad())
        return text;
    Findings findings;
    findings.add(name, "can't be read");
    return tl::unexpected(std::move(findings));
}

tl::expected<std::string, Findings> readCommandFile(const Command &command)
{
    if (command.kind == CommandKind::CustomerPut || command.kind == CommandKind::PresetPut)
        return readFile(command.argument);
    return command.payloadFile.empty() ? std::string() : readFile(command.payloadFile);
}

ExitCode reportUsageError(const Findings &findings)
{
    std::cerr << findings.toString();
    return ExitCode::Usage;
}

ExitCode printKey(const Command &command)
{
    const std::string secret = Authenticator::generateSecret();
    const std::string salt = Authenticator::generateSecret();
    const ApiKey key = Authenticator::deriveKey(command.argument, command.role, secret, salt);
    const char *role = key.role == Role::Operator ? "operator" : "caller";
    const nlohmann::json stored{
        {"name", key.name}, {"role", role}, {"salt", key.salt}, {"hash", key.hash}};
    const std::string whole = key.name + "." + secret;
    if (command.json)
        std::cout << nlohmann::json{{"key", whole}, {"stored", stored}}.dump(2) << '\n';
    else
        std::cout << "key     " << whole << "\nstored  " << stored.dump() << '\n';
    return ExitCode::Success;
}

// Prints the option that makes a retry idempotent: a retry under the same id is never executed
// twice.
void printRetryHint(const Command &command, const std::string &generatedId)
{
    const bool isJob = command.kind == CommandKind::Submit;
    const std::string &given = isJob ? command.submit.spec.requestId : command.changeId;
    std::cerr << "to retry, use: " << (isJob ? "--id " : "--change-id ")
              << (given.empty() ? generatedId : given) << '\n';
}

ExitCode callInstance(const Command &command)
{
    const auto fileText = readCommandFile(command);
    if (!fileText)
        return reportUsageError(fileText.error());
    const std::string generatedId = Authenticator::generateSecret();
    const auto request = buildRequest(command, *fileText, generatedId);
    if (!request)
        return reportUsageError(request.error());
    ApiClient client(command);
    const ApiReply reply = client.run(*request);
    const ExitCode code = exitCodeOf(command.kind, reply);
    std::ostream &out = code == ExitCode::Success || command.json ? std::cout : std::cerr;
    out << (command.json ? reply.body + "\n" : renderReply(command.kind, reply.body));
    if (code == ExitCode::Unavailable && request->method == HttpMethod::Post
        && command.kind != CommandKind::Drain)
        printRetryHint(command, generatedId);
    return code;
}

ExitCode explain(const Command &command)
{
    RequestTimeline timeline(command.argument);
    for (const std::string &name : command.logFiles) {
        std::ifstream file(name, std::ios::binary);
        if (!file) {
            Findings findings;
            findings.add(name, "can't be read");
            return reportUsageError(findings);
        }
        timeline.read(file);
    }
    const std::vector<LogLine> lines = timeline.lines();
    if (lines.empty()) {
        std::cerr << command.argument << ": no log file has a line about this request\n";
        return ExitCode::Unavailable;
    }
    std::cout << renderTimeline(lines);
    return ExitCode::Success;
}

ExitCode checkConfiguration(const Command &command)
{
    const auto text = readFile(command.argument);
    if (!text)
        return reportUsageError(text.error());
    tl::expected<std::string, Findings> inForce;
    if (!command.inForceFile.empty())
        inForce = readFile(command.inForceFile);
    if (!inForce)
        return reportUsageError(inForce.error());
    const CheckReport report = checkConfigurationText(*text, *inForce);
    std::cout << renderReport(report, command.json);
    return report.isSound() ? ExitCode::Success : ExitCode::Refused;
}

ExitCode run(const Command &command)
{
    switch (command.kind) {
    case CommandKind::Help:
        std::cout << commandLineHelp();
        return ExitCode::Success;
    case CommandKind::Version:
        std::cout << version << '\n';
        return ExitCode::Success;
    case CommandKind::Key:
        return printKey(command);
    case CommandKind::Explain:
        return explain(command);
    case CommandKind::CheckConfiguration:
        return checkConfiguration(command);
    default:
        return callInstance(command);
    }
}

} // namespace
} // namespace Hibiscus

int main(int argc, char *argv[])
{
    using namespace Hibiscus;
    const char *key = std::getenv("HIBISCUS_KEY");
    const std::span<const char *const> arguments(argv, static_cast<std::size_t>(argc));
    const auto command = parseCommandLine(arguments, key ? key : "");
    return static_cast<int>(command ? run(*command) : reportUsageError(command.error()));
}
