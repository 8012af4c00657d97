#include <Hibiscusctl/CommandLine.h>

#include <gtest/gtest.h>

namespace Hibiscus {
namespace {

const std::vector<const char *> connection{"--port", "8080", "--key", "lab.secret"};

tl::expected<Command, Findings> parse(std::vector<const char *> words, bool connects = true,
                                      std::string_view environmentKey = "")
{
    words.insert(words.begin(), "hibiscusctl");
    if (connects)
        words.insert(words.end(), connection.begin(), connection.end());
    return parseCommandLine(words, environmentKey);
}

std::vector<std::string> places(const tl::expected<Command, Findings> &command)
{
    std::vector<std::string> result;
    if (!command) {
        for (const Finding &finding : command.error().all())
            result.push_back(finding.location);
    }
    return result;
}

TEST(CommandLine, EveryFieldOfASubmissionCanBeGiven)
{
    const auto command = parse({"submit",         "--id",        "r-1",         "--kind",
                                "recalculation",  "--urgency",   "urgent",      "--non-idempotent",
                                "--accelerators", "16",          "--adjacency", "rack",
                                "--memory",       "2048",        "--run-time",  "1500",
                                "--deadline",     "60000",       "--payload",   "dose",
                                "--no-wait",      "--retry-for", "30",          "--json"});
    ASSERT_TRUE(command) << command.error().toString();
    JobSpec expected;
    expected.requestId = "r-1";
    expected.kind = "recalculation";
    expected.urgency = UrgencyClass::Urgent;
    expected.idempotent = false;
    expected.accelerators = 16;
    expected.adjacency = Adjacency::Rack;
    expected.memoryMiB = 2048;
    expected.declaredRunTime = milliseconds(1500);
    expected.deadline = seconds(60);
    expected.payload = "dose";
    EXPECT_EQ(command->kind, CommandKind::Submit);
    EXPECT_EQ(command->submit.spec, expected);
    EXPECT_FALSE(command->submit.wait);
    EXPECT_EQ(command->retryFor, seconds(30));
    EXPECT_TRUE(command->json);
    EXPECT_EQ(command->host, "127.0.0.1");
    EXPECT_EQ(command->port, 8080);
    EXPECT_EQ(command->key, "lab.secret");
}

TEST(CommandLine, SubmissionWaitsByDefault)
{
    EXPECT_TRUE(parse({"submit", "--kind", "k"})->submit.wait);
    EXPECT_TRUE(parse({"submit", "--kind", "k", "--wait"})->submit.wait);
    EXPECT_EQ(places(parse({"submit", "--kind", "k", "--wait", "--no-wait"})),
              (std::vector<std::string>{"--wait"}));
}

TEST(CommandLine, EachCommandIsParsedWithItsArgument)
{
    const std::vector<std::pair<std::vector<const char *>, CommandKind>> commands{
        {{"status", "id"}, CommandKind::Status},
        {{"wait", "id"}, CommandKind::Wait},
        {{"cancel", "id"}, CommandKind::Cancel},
        {{"customer", "put", "id"}, CommandKind::CustomerPut},
        {{"customer", "remove", "id"}, CommandKind::CustomerRemove},
        {{"preset", "put", "id"}, CommandKind::PresetPut},
        {{"preset", "switch", "id"}, CommandKind::PresetSwitch},
        {{"preset", "remove", "id"}, CommandKind::PresetRemove},
    };
    for (const auto &[words, kind] : commands) {
        const auto command = parse(words);
        ASSERT_TRUE(command) << words[0] << ' ' << command.error().toString();
        EXPECT_EQ(command->kind, kind);
        EXPECT_EQ(command->argument, "id");
        std::vector<const char *> tooFew(words.begin(), words.end() - 1);
        EXPECT_FALSE(parse(tooFew));
        std::vector<const char *> tooMany = words;
        tooMany.push_back("more");
        EXPECT_EQ(places(parse(tooMany)), (std::vector<std::string>{"more"}));
    }
    EXPECT_EQ(parse({"customer", "list"})->kind, CommandKind::CustomerList);
    EXPECT_EQ(parse({"preset", "list"})->kind, CommandKind::PresetList);
    EXPECT_EQ(parse({"show"})->kind, CommandKind::Show);
    EXPECT_EQ(parse({"drain"})->kind, CommandKind::Drain);
    EXPECT_EQ(parse({"key", "lab", "--role", "operator"}, false)->role, Role::Operator);
    EXPECT_EQ(parse({"--help"}, false)->kind, CommandKind::Help);
    EXPECT_EQ(parse({"--version"}, false)->kind, CommandKind::Version);
}

TEST(CommandLine, AllErrorsAreReportedTogether)
{
    const auto command
        = parse({"submit", "--urgency", "soon", "--accelerators", "70000", "--host", "localhost",
                 "--port", "0", "--payload", "a", "--payload-file", "b"},
                false);
    EXPECT_EQ(places(command),
              (std::vector<std::string>{"--kind", "--urgency", "--accelerators", "--payload",
                                        "--host", "--port", "--key"}));
    EXPECT_EQ(places(parse({"status", "../changes"})), (std::vector<std::string>{"../changes"}));
    EXPECT_EQ(places(parse({"preset", "explode", "x"})), (std::vector<std::string>{"command"}));
    EXPECT_EQ(places(parse({})), (std::vector<std::string>{"command"}));
    EXPECT_FALSE(parse({"show", "--unknown"}));
    EXPECT_FALSE(parse({"show", "--retry-for", "soon"}));
    EXPECT_FALSE(parse({"show", "--retry-for=-1"}));
    EXPECT_EQ(places(parse({"key", "lab", "--role", "king"}, false)),
              (std::vector<std::string>{"--role"}));
}

TEST(CommandLine, KeyIsReadFromTheEnvironmentByDefault)
{
    const auto command = parse({"show", "--port", "1"}, false, "ops.secret");
    ASSERT_TRUE(command);
    EXPECT_EQ(command->key, "ops.secret");
    EXPECT_EQ(parse({"show"}, true, "ops.secret")->key, "lab.secret");
}

TEST(CommandLine, HelpListsCommandsAndExitCodes)
{
    const std::string help = commandLineHelp();
    for (const char *text : {"customer put FILE", "preset switch NAME", "--retry-for", "--tls-ca",
                             "HIBISCUS_KEY", "--payload-file", "3  conflict", "5  the job failed"})
        EXPECT_NE(help.find(text), std::string::npos) << text;
}

TEST(CommandLine, ExplainTakesAnIdAndLogFilesButNoConnection)
{
    const auto command = parse({"explain", "ab", "one.log", "two.log"}, false);
    ASSERT_TRUE(command) << command.error().toString();
    EXPECT_EQ(command->kind, CommandKind::Explain);
    EXPECT_EQ(command->argument, "ab");
    EXPECT_EQ(command->logFiles, (std::vector<std::string>{"one.log", "two.log"}));
    EXPECT_EQ(places(parse({"explain", "ab"}, false)), (std::vector<std::string>{"explain"}));
}

} // namespace
} // namespace Hibiscus
