#include <Runtime/EventLog.h>

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace Hibiscus::Runtime {

namespace {

constexpr TimePoint start{seconds(100)};

class EventLogTest : public testing::Test
{
protected:
    void SetUp() override { ASSERT_EQ(pipe(this->pipeEnds), 0); }
    void TearDown() override
    {
        close(this->pipeEnds[0]);
        close(this->pipeEnds[1]);
    }

    EventLog::Settings settings() const
    {
        EventLog::Settings settings;
        settings.instance = "entry-1";
        settings.descriptor = this->pipeEnds[1];
        return settings;
    }

    std::string readAll() const
    {
        fcntl(this->pipeEnds[0], F_SETFL, O_NONBLOCK);
        std::string text(1 << 20, '\0');
        const ssize_t size = read(this->pipeEnds[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    int pipeEnds[2]{};
};

TEST_F(EventLogTest, EachLineIsOneJsonObject)
{
    EventLog log(this->settings());
    log.write(LogKind::Request, "accepted", {{"request", "ab"}}, start, 1700);
    log.write(LogKind::Process, "stop", {}, start, 1701);
    EXPECT_EQ(this->readAll(),
              "{\"time\":1700,\"instance\":\"entry-1\",\"kind\":\"request\",\"event\":\"accepted\","
              "\"request\":\"ab\"}\n"
              "{\"time\":1701,\"instance\":\"entry-1\",\"kind\":\"process\",\"event\":\"stop\"}\n");
}

TEST_F(EventLogTest, LinesOverTheLimitAreSuppressedAndCounted)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 5;
    EventLog log(settings);
    for (int i = 0; i < 1000; i++)
        log.write(LogKind::Task, "run ended", {}, start, 1700);
    log.write(LogKind::Task, "run ended", {}, start + seconds(1), 2700);
    const std::string text = this->readAll();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 7);
    EXPECT_NE(text.find("\"lines left out\",\"lines\":995"), std::string::npos);
    EXPECT_EQ(log.droppedLines(), 995U);
}

TEST_F(EventLogTest, EachKindHasItsOwnLimit)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 1;
    EventLog log(settings);
    for (int i = 0; i < 10; i++)
        log.write(LogKind::Task, "run ended", {}, start, 1700);
    log.write(LogKind::Leadership, "deposed", {}, start, 1700);
    EXPECT_NE(this->readAll().find("deposed"), std::string::npos);
}

TEST_F(EventLogTest, WriteDoesNotBlockWhenThePipeIsFull)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 1'000'000;
    EventLog log(settings);
    const std::string payload(500, 'x');
    // The lines are far larger than pipe and buffer together, so a blocking write would never
    // return.
    for (int i = 0; i < 5000; i++)
        log.write(LogKind::Request, "accepted", {{"text", payload}}, start, 1700);
    EXPECT_GT(log.droppedLines(), 0U);
}

TEST_F(EventLogTest, FieldsThatAreNotUtf8AreWrittenWithReplacements)
{
    EventLog log(this->settings());
    log.write(LogKind::Fault, "worker entry can't be used",
              {{"worker", "i-\xff\xc3"}, {"error", std::string("a\0\xed\xa0\x80", 5)}}, start,
              1700);
    const std::string text = this->readAll();
    const nlohmann::json line = nlohmann::json::parse(text, nullptr, false);
    ASSERT_TRUE(line.is_object()) << text;
    EXPECT_EQ(line.at("worker"), "i-\xef\xbf\xbd\xef\xbf\xbd");
}

} // namespace

} // namespace Hibiscus::Runtime
