#include <gtest/gtest.h>
#include <platform/CallerFormat.h>
#include <platform/Formats.h>

namespace Hibiscus::Platform {

namespace {

/// Largest value that the platform's store takes.
constexpr std::size_t maxValueBytes = std::size_t{1024} * 1024;

std::string nestedArrays(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

std::string nestedObjects(std::size_t levels)
{
    std::string text;
    for (std::size_t i = 0; i < levels; i++)
        text += R"({"a":)";
    return text + "1" + std::string(levels, '}');
}

/// Replaces one part of a valid entry.
std::string entryWith(const std::string &part, const std::string &replacement)
{
    std::string text = R"({"backend":"svc","address":"10.0.0.9:80","state":"ready","born":99,
        "clockMs":5,"capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"]})";
    const std::size_t at = text.find(part);
    EXPECT_NE(at, std::string::npos) << part;
    return text.replace(at, part.size(), replacement);
}

/// Whether the text is refused with a finding that is short enough for a line of the log.
testing::AssertionResult isRefused(std::string_view key, const std::string &text)
{
    constexpr std::size_t maxFindingBytes = 16'000;
    const auto entry = decodeWorkerEntry(key, text);
    if (entry)
        return testing::AssertionFailure() << "taken: " << text.substr(0, 300);
    const std::size_t bytes = entry.error().toString().size();
    if (bytes == 0 || bytes > maxFindingBytes)
        return testing::AssertionFailure() << "findings of " << bytes << " bytes";
    return testing::AssertionSuccess();
}

TEST(OddWorkerEntry, ValidEntryThatTheOthersVaryIsTaken)
{
    EXPECT_TRUE(decodeWorkerEntry("servers/i-8", entryWith("svc", "svc")));
    EXPECT_TRUE(decodeWorkerEntry("servers/i-8", entryWith("10.0.0.9:80", "fd00::9:80")));
    EXPECT_TRUE(decodeWorkerEntry("servers/i-8", entryWith("10.0.0.9:80", "127.0.0.1:65535")));
    EXPECT_TRUE(decodeWorkerEntry("servers/i-8", entryWith("99", "1791000000000")));
    EXPECT_TRUE(decodeWorkerEntry("servers/i-8", entryWith(R"("born":99,)", "")));
}

TEST(OddWorkerEntry, DeepNestingIsRefusedInEveryPlace)
{
    for (const std::size_t levels : {std::size_t{1000}, std::size_t{100'000}}) {
        for (const std::string &nested : {nestedArrays(levels), nestedObjects(levels)}) {
            EXPECT_TRUE(isRefused("servers/i-8", nested));
            EXPECT_TRUE(isRefused("servers/i-8", entryWith(R"("a",)", nested + ",")));
            EXPECT_TRUE(isRefused("servers/i-8", entryWith("16000", nested)));
            EXPECT_TRUE(isRefused("servers/i-8", entryWith(R"("svc")", nested)));
            EXPECT_TRUE(isRefused("servers/i-8", entryWith("99", "99,\"x\":" + nested)));
        }
    }
    EXPECT_TRUE(isRefused("servers/i-8", nestedArrays(maxValueBytes / 2)));
    EXPECT_TRUE(isRefused("servers/i-8", std::string(maxValueBytes, '[')));
    EXPECT_TRUE(isRefused("servers/i-8", std::string(maxValueBytes, '{')));
}

TEST(OddWorkerEntry, NumbersOutsideTheRangeOfTheirFieldAreRefused)
{
    for (const char *number :
         {"9223372036854775808", "18446744073709551615", "1e400", "-1e400", "1e30", "-1",
          "99999999999999999999999", "9223372036854775807", "1.5", "\"7\"", "true", "[]"}) {
        EXPECT_TRUE(isRefused("servers/i-8", entryWith("16000", number)));
        EXPECT_TRUE(isRefused("servers/i-8", entryWith("32768", number)));
        EXPECT_TRUE(
            isRefused("servers/i-8", entryWith(R"("gpu":8)", "\"gpu\":" + std::string(number))));
        EXPECT_TRUE(isRefused("servers/i-8", entryWith("99", number)));
        EXPECT_TRUE(isRefused("servers/i-8",
                              entryWith(R"("clockMs":5)", "\"clockMs\":" + std::string(number))));
    }
}

TEST(OddWorkerEntry, AddressesThatCanNotBeCalledAreRefused)
{
    for (const char *address : {"10.0.0.9:0",
                                "10.0.0.9:65536",
                                "10.0.0.9:99999999999",
                                "10.0.0.9:-1",
                                "10.0.0.9:",
                                "10.0.0.9",
                                ":80",
                                "10.0.0.9 :80",
                                " 10.0.0.9:80",
                                "10.0.0.9: 80",
                                "10.0.0.9:80 ",
                                "10.0.0.9:+80",
                                "10.0.0.9:0x50",
                                "10.0.0.9:80.0",
                                "0.0.0.0:80",
                                ":::80",
                                "224.0.0.1:80",
                                "255.255.255.255:80",
                                "ff02::1:80",
                                "fe80::1%x\\r\\nA: b:80",
                                "10.0.0.9\\u0000x:80",
                                "worker:80",
                                "[fd00::9]:80",
                                "10.0.0.256:80",
                                "::ffff:0.0.0.0:80",
                                ""})
        EXPECT_TRUE(isRefused("servers/i-8", entryWith("10.0.0.9:80", address)));
}

TEST(OddWorkerEntry, KeysThatNameNoWorkerAreRefused)
{
    const std::string text = entryWith("svc", "svc");
    for (const char *key : {"servers/", "servers", "", "servers/a/b", "servers/a b",
                            "servers/\xc3\xa9", "servers/a\r\nX: y", "servers/\xff", "other/i-8"})
        EXPECT_TRUE(isRefused(key, text));
}

TEST(OddWorkerEntry, TextsThatAreNoObjectAreRefused)
{
    for (const char *text :
         {"", " ", "null", "7", "\"x\"", "[]", "[{}]", "{}", "{", "{}{}", "\xff\xfe",
          "{\"backend\":\"\xff\"}", "\xef\xbb\xbf", "NaN", "{\"a\":\"\\ud800\"}"})
        EXPECT_TRUE(isRefused("servers/i-8", text));
}

TEST(OddWorkerEntry, FindingsOfAFullEntryStayShort)
{
    std::string labels = "[0";
    while (labels.size() < maxValueBytes)
        labels += ",0";
    EXPECT_TRUE(isRefused("servers/i-8", entryWith(R"(["a","r1-3"])", labels + "]")));
}

std::string submission(const std::string &step, const std::string &job = "")
{
    return R"({"spec":"s","steps":[{)" + step + "}]" + job + "}";
}

TEST(OddSubmission, DeepNestingIsRefused)
{
    constexpr std::size_t levels = 100'000;
    EXPECT_FALSE(decodeSubmission(nestedArrays(levels)));
    EXPECT_FALSE(decodeSubmission(R"({"steps":)" + nestedArrays(levels) + "}"));
    EXPECT_FALSE(decodeSubmission(submission(R"("after":)" + nestedArrays(levels))));
    EXPECT_FALSE(decodeSubmission(submission(R"("count":1,"x":)" + nestedObjects(levels))));
}

TEST(OddSubmission, NumbersOutsideTheRangeOfTheirFieldAreRefused)
{
    EXPECT_TRUE(decodeSubmission(submission(R"("cpu":1,"gpu":0,"estimateMs":900.5)")));
    for (const char *field :
         {"count", "cpu", "memMb", "gpu", "estimateMs", "targetMs", "mayMiss", "maxPerServer"}) {
        for (const char *number : {"-1", "1e300", "1e400", "4294967297.5e12", "9223372036854775808",
                                   "18446744073709551615", "9223372036854775807"})
            EXPECT_FALSE(decodeSubmission(submission("\"" + std::string(field) + "\":" + number)))
                << field << " " << number;
    }
    for (const char *field : {"mayMiss", "maxPerServer"})
        EXPECT_FALSE(decodeSubmission(submission("\"" + std::string(field) + "\":4294967296")))
            << field;
    for (const char *field : {"repeats", "firstMs", "intervalMs"}) {
        for (const char *number : {"-1", "1e300", "18446744073709551615", "9223372036854775807"})
            EXPECT_FALSE(
                decodeSubmission(submission("", ",\"" + std::string(field) + "\":" + number)))
                << field << " " << number;
    }
    EXPECT_FALSE(decodeSubmission(submission("", R"(,"repeats":4294967297)")));
}

TEST(OddSubmission, JobsWithMoreTasksThanAnInstanceCanTrackAreRefused)
{
    EXPECT_TRUE(decodeSubmission(submission(R"("count":10000)")));
    EXPECT_TRUE(decodeSubmission(submission(R"("count":10)", R"(,"repeats":1000)")));
    EXPECT_FALSE(decodeSubmission(submission("", R"(,"repeats":2147483647)")));
    EXPECT_FALSE(decodeSubmission(submission(R"("count":10000)", R"(,"repeats":10000)")));
}

TEST(OddSubmission, FindingsOfAFullBodyStayShort)
{
    constexpr std::size_t maxFindingBytes = 16'000;
    std::string after = "[-1";
    while (after.size() < std::size_t{256} * 1024)
        after += ",-1";
    const auto job = decodeSubmission(submission(R"("after":)" + after + "]"));
    ASSERT_FALSE(job);
    EXPECT_LE(job.error().toString().size(), maxFindingBytes);
}

TEST(OddCall, TimeoutBeyondTheRangeOfTimesIsCapped)
{
    const TimePoint now{seconds(5)};
    for (const char *timeout : {"9223372036854775807", "9223372036854776"}) {
        Runtime::HttpRequest request;
        request.method(boost::beast::http::verb::get);
        request.target("/p/");
        request.set("Deadline-Ms", timeout);
        const auto call = decodeCall(request, seconds(3), now);
        ASSERT_TRUE(call);
        EXPECT_GT(call->deadline, now) << timeout;
    }
}

std::string configuration(const std::string &queueFields, const std::string &others = "")
{
    return R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/p/","backend":"svc")"
        + queueFields + "}]" + others + "}";
}

TEST(OddConfiguration, DeepNestingAndNumbersOutsideTheRangeAreRefused)
{
    EXPECT_TRUE(decodeConfiguration(configuration("")));
    EXPECT_FALSE(decodeConfiguration(nestedObjects(100'000)));
    EXPECT_FALSE(decodeConfiguration(configuration(",\"x\":" + nestedArrays(100'000))));
    for (const char *fields :
         {R"(,"priority":4294967296)", R"(,"maxAttempts":4294967297)", R"(,"timeoutMs":1e300)",
          R"(,"targetLatencyMs":-1e300)", R"(,"priority":18446744073709551615)"})
        EXPECT_FALSE(decodeConfiguration(configuration(fields))) << fields;
    EXPECT_FALSE(
        decodeConfiguration(configuration("", R"(,"limits":{"maxHeaderBytes":4294967296})")));
    EXPECT_FALSE(decodeConfiguration(configuration("", R"(,"limits":{"maxBodyBytes":-1})")));
    EXPECT_FALSE(decodeConfiguration(configuration(
        "", R"(,"tenants":[{"name":"t","guaranteed":{"gpu":18446744073709551615}}])")));
}

} // namespace

} // namespace Hibiscus::Platform
