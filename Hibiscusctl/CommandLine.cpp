#include <Hibiscusctl/CommandLine.h>

#include <Config/Names.h>

#include <array>
#include <cxxopts.hpp>
#include <limits>

namespace Hibiscus {
namespace {

constexpr std::string_view usage = R"(Command line of callers and operators of hibiscusarch.

Commands for callers (on the callers' port):
  submit               Submit a job
  status ID            Show the state of a job
  wait ID              Wait until a job has ended
  cancel ID            Cancel a job
Commands for operators (on the operators' port):
  customer put FILE    Create or replace a customer (JSON)
  customer remove NAME
  customer list
  preset put FILE      Create or replace a preset (JSON)
  preset switch NAME   Make a preset active
  preset remove NAME
  preset list
  show                 Show the state of an instance
  drain                Make an instance finish its work and refuse new calls
Commands that make no call to an instance:
  key NAME             Print a new secret and its stored form
  explain ID FILE...   Show the events of one request in instances' log files
  check FILE [OLD]     Check a configuration of hibiscus-node, and compare it with the one in force
)";

constexpr std::string_view exitCodes = R"(
Exit status:
  0  done or accepted
  1  invalid command line or file
  2  refused: not run, an invalid change, or a key without permission
  3  conflict: another change was made first
  4  unavailable, or the outcome is unknown
  5  the job failed or was cancelled
)";

struct CommandWords
{
    std::string_view first;
    std::string_view second; ///< Empty if the command is a single word.
    CommandKind kind;
    bool takesArgument;
};

constexpr std::array commandTable{
    CommandWords{"submit", "", CommandKind::Submit, false},
    CommandWords{"status", "", CommandKind::Status, true},
    CommandWords{"wait", "", CommandKind::Wait, true},
    CommandWords{"cancel", "", CommandKind::Cancel, true},
    CommandWords{"customer", "put", CommandKind::CustomerPut, true},
    CommandWords{"customer", "remove", CommandKind::CustomerRemove, true},
    CommandWords{"customer", "list", CommandKind::CustomerList, false},
    CommandWords{"preset", "put", CommandKind::PresetPut, true},
    CommandWords{"preset", "switch", CommandKind::PresetSwitch, true},
    CommandWords{"preset", "remove", CommandKind::PresetRemove, true},
    CommandWords{"preset", "list", CommandKind::PresetList, false},
    CommandWords{"show", "", CommandKind::Show, false},
    CommandWords{"drain", "", CommandKind::Drain, false},
    CommandWords{"key", "", CommandKind::Key, true},
    CommandWords{"explain", "", CommandKind::Explain, true},
    CommandWords{"check", "", CommandKind::CheckConfiguration, true},
};

using Words = std::vector<std::string>;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hibiscusctl", std::string(usage));
    options.custom_help("COMMAND [OPTION...]");
    options.positional_help("");
    auto add = options.add_options();
    add("host", "The instance's IP address",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("port", "The instance's port for callers or operators", cxxopts::value<std::int64_t>());
    add("key", "NAME.SECRET; default: from HIBISCUS_KEY", cxxopts::value<std::string>());
    add("tls-ca", "PEM file of the trusted certificate authority; enables TLS",
        cxxopts::value<std::string>());
    add("json", "Print the JSON reply unchanged");
    add("retry-for", "Retry a call without an answer for this many seconds",
        cxxopts::value<std::int64_t>());
    add("help", "Print this help");
    add("version", "Print the version");
    add("words", "", cxxopts::value<Words>());
    auto job = options.add_options("submit");
    job("id", "Request id; default: a generated one", cxxopts::value<std::string>());
    job("kind", "Kind of work", cxxopts::value<std::string>());
    job("urgency", "urgent, standard or background", cxxopts::value<std::string>());
    job("non-idempotent", "The job must not run more than once");
    job("accelerators", "Number of accelerators; 0 requests one slot",
        cxxopts::value<std::int64_t>());
    job("adjacency", "any, worker, rack or neighboring-racks", cxxopts::value<std::string>());
    job("memory", "MiB on each worker of the job", cxxopts::value<std::int64_t>());
    job("run-time", "Declared run time in milliseconds", cxxopts::value<std::int64_t>());
    job("deadline", "Time limit from acceptance to the answer, in milliseconds",
        cxxopts::value<std::int64_t>());
    job("payload", "Payload text for the worker", cxxopts::value<std::string>());
    job("payload-file", "File with the payload text", cxxopts::value<std::string>());
    job("wait", "Wait until the job has ended (default)");
    job("no-wait", "Return once the job is accepted");
    auto change = options.add_options("customer, preset");
    change("change-id", "Id by which retries of a change are recognized; default: a generated one",
           cxxopts::value<std::string>());
    change("based-on", "Refuse the change if a later revision exists",
           cxxopts::value<std::int64_t>());
    auto key = options.add_options("key");
    key("role", "caller or operator", cxxopts::value<std::string>()->default_value("caller"));
    options.parse_positional({"words"});
    return options;
}

/// Reads values from parsed options and collects findings about invalid ones.
class Reader
{
public:
    explicit Reader(const cxxopts::ParseResult &options)
        : options(options)
    {}

    Findings findings;

    bool has(const std::string &name) const { return this->options.count(name) > 0; }

    std::string text(const std::string &name) const
    {
        const bool isKnown = this->has(name) || this->options[name].has_default();
        return isKnown ? this->options[name].as<std::string>() : std::string();
    }

    template <class Number>
    Number number(const std::string &name, Number otherwise = 0)
    {
        if (!this->has(name))
            return otherwise;
        const auto value = this->options[name].as<std::int64_t>();
        if (value >= 0
            && static_cast<std::uint64_t>(value)
                <= std::uint64_t(std::numeric_limits<Number>::max()))
            return static_cast<Number>(value);
        this->findings.add("--" + name, "is out of range");
        return otherwise;
    }

    template <class Enum>
    Enum enumeration(const std::string &name, Enum otherwise,
                     std::optional<Enum> (*fromString)(std::string_view))
    {
        if (!this->has(name))
            return otherwise;
        const std::optional<Enum> value = fromString(this->text(name));
        if (!value)
            this->findings.add("--" + name, "is not an allowed value; see --help");
        return value.value_or(otherwise);
    }

    void exclude(const std::string &left, const std::string &right)
    {
        if (this->has(left) && this->has(right))
            this->findings.add("--" + left, "cannot be combined with --" + right);
    }

private:
    const cxxopts::ParseResult &options;
};

const CommandWords *findCommand(const Words &words)
{
    for (const CommandWords &entry : commandTable) {
        if (words.empty() || words[0] != entry.first)
            continue;
        if (entry.second.empty() || (words.size() > 1 && words[1] == entry.second))
            return &entry;
    }
    return nullptr;
}

void readExplain(const Words &words, Command &command, Findings &findings)
{
    constexpr std::size_t fewestWords = 3;
    if (words.size() < fewestWords) {
        findings.add("explain", "needs an id and log files; see --help");
        return;
    }
    command.argument = words[1];
    command.logFiles.assign(words.begin() + 2, words.end());
}

void readCheck(const Words &words, Command &command, Findings &findings)
{
    constexpr std::size_t mostWords = 3;
    if (words.size() < 2 || words.size() > mostWords) {
        findings.add("check", "needs one file, or two to compare; see --help");
        return;
    }
    command.argument = words[1];
    if (words.size() == mostWords)
        command.inForceFile = words[2];
}

void readWords(const Words &words, Command &command, Findings &findings)
{
    const CommandWords *entry = findCommand(words);
    if (!entry) {
        findings.add("command", "is missing or unknown; see --help");
        return;
    }
    command.kind = entry->kind;
    if (entry->kind == CommandKind::Explain) {
        readExplain(words, command, findings);
        return;
    }
    if (entry->kind == CommandKind::CheckConfiguration) {
        readCheck(words, command, findings);
        return;
    }
    const std::size_t named = entry->second.empty() ? 1 : 2;
    const std::size_t expected = named + (entry->takesArgument ? 1 : 0);
    if (words.size() > expected)
        findings.add(words[expected], "is an unexpected extra argument");
    else if (words.size() < expected)
        findings.add("command", "needs an argument; see --help");
    else if (entry->takesArgument)
        command.argument = words.back();
}

// Ids and names become parts of paths and keys, so they are checked; file names may be arbitrary.
void checkArgument(const Command &command, Findings &findings)
{
    const bool isFile = command.kind == CommandKind::CustomerPut
        || command.kind == CommandKind::PresetPut
        || command.kind == CommandKind::CheckConfiguration;
    if (!isFile && !command.argument.empty())
        checkName(command.argument, command.argument, findings);
}

void readSubmit(Reader &reader, Command &command)
{
    JobSpec &spec = command.submit.spec;
    spec.requestId = reader.text("id");
    if (reader.has("id"))
        checkName(spec.requestId, "--id", reader.findings);
    spec.kind = reader.text("kind");
    checkName(spec.kind, "--kind", reader.findings);
    spec.urgency = reader.enumeration("urgency", spec.urgency, urgencyClassFromString);
    spec.idempotent = !reader.has("non-idempotent");
    spec.accelerators = reader.number<std::uint16_t>("accelerators");
    spec.adjacency = reader.enumeration("adjacency", spec.adjacency, adjacencyFromString);
    spec.memoryMiB = reader.number<std::uint32_t>("memory");
    spec.declaredRunTime = milliseconds(reader.number<std::int32_t>("run-time"));
    if (reader.has("deadline"))
        spec.deadline = milliseconds(reader.number<std::int32_t>("deadline"));
    spec.payload = reader.text("payload");
    command.payloadFile = reader.text("payload-file");
    command.submit.wait = !reader.has("no-wait");
    reader.exclude("payload", "payload-file");
    reader.exclude("wait", "no-wait");
}

void readChange(Reader &reader, Command &command)
{
    command.changeId = reader.text("change-id");
    if (reader.has("change-id"))
        checkName(command.changeId, "--change-id", reader.findings);
    if (reader.has("based-on"))
        command.basedOn = static_cast<std::uint64_t>(reader.number<std::int64_t>("based-on"));
}

void readConnection(Reader &reader, std::string_view environmentKey, Command &command)
{
    command.host = reader.text("host");
    if (!isIpAddress(command.host))
        reader.findings.add("--host", "must be an IP address");
    command.port = reader.number<std::uint16_t>("port");
    if (command.port == 0)
        reader.findings.add("--port", "is required");
    command.key = reader.has("key") ? reader.text("key") : std::string(environmentKey);
    if (command.key.empty())
        reader.findings.add("--key", "is required, or HIBISCUS_KEY");
    command.certificateAuthority = reader.text("tls-ca");
    command.retryFor = seconds(reader.number<std::int32_t>("retry-for"));
}

void readRole(Reader &reader, Command &command)
{
    const std::string role = reader.text("role");
    command.role = role == "operator" ? Role::Operator : Role::Caller;
    if (role != "operator" && role != "caller")
        reader.findings.add("--role", "must be caller or operator");
}

tl::expected<Command, Findings> readOptions(const cxxopts::ParseResult &options,
                                            std::string_view environmentKey)
{
    Command command;
    Reader reader(options);
    if (reader.has("help"))
        return command;
    command.kind = CommandKind::Version;
    if (reader.has("version"))
        return command;
    command.json = reader.has("json");
    const Words words = reader.has("words") ? options["words"].as<Words>() : Words();
    readWords(words, command, reader.findings);
    checkArgument(command, reader.findings);
    if (command.kind == CommandKind::Submit)
        readSubmit(reader, command);
    if (command.kind == CommandKind::Key)
        readRole(reader, command);
    else if (command.kind != CommandKind::Explain
             && command.kind != CommandKind::CheckConfiguration)
        readConnection(reader, environmentKey, command);
    readChange(reader, command);
    if (!reader.findings.isEmpty())
        return tl::unexpected(reader.findings);
    return command;
}

} // namespace

tl::expected<Command, Findings> parseCommandLine(std::span<const char *const> arguments,
                                                 std::string_view environmentKey)
{
    try {
        cxxopts::Options options = describeOptions();
        const auto parsed = options.parse(static_cast<int>(arguments.size()), arguments.data());
        return readOptions(parsed, environmentKey);
    } catch (const std::exception &error) {
        Findings findings;
        findings.add("command line", error.what());
        return tl::unexpected(std::move(findings));
    }
}

std::string commandLineHelp()
{
    return describeOptions().help() + std::string(exitCodes);
}

} // namespace Hibiscus
