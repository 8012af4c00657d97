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
    void SetUp() override { ASSERT_EQ(pipe(this->ends), 0); }
    void TearDown() override
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }

    EventLog::Settings settings() const
    {
        EventLog::Settings settings;
        settings.instance = "entry-1";
        settings.descriptor = this->ends[1];
        return settings;
    }

    std::string drain() const
    {
        fcntl(this->ends[0], F_SETFL, O_NONBLOCK);
        std::string text(1 << 20, '\0');
        const ssize_t size = read(this->ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    int ends[2]{};
};

TEST_F(EventLogTest, OneObjectALine)
{
    EventLog log(this->settings());
    log.write(LogKind::Request, "accepted", {{"request", "ab"}}, start, 1700);
    log.write(LogKind::Process, "stop", {}, start, 1701);
    EXPECT_EQ(this->drain(),
              "{\"time\":1700,\"instance\":\"entry-1\",\"kind\":\"request\",\"event\":\"accepted\","
              "\"request\":\"ab\"}\n"
              "{\"time\":1701,\"instance\":\"entry-1\",\"kind\":\"process\",\"event\":\"stop\"}\n");
}

TEST_F(EventLogTest, FloodIsBoundedAndCounted)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 5;
    EventLog log(settings);
    for (int i = 0; i < 1000; i++)
        log.write(LogKind::Task, "run ended", {}, start, 1700);
    log.write(LogKind::Task, "run ended", {}, start + seconds(1), 2700);
    const std::string text = this->drain();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 7);
    EXPECT_NE(text.find("\"lines left out\",\"lines\":995"), std::string::npos);
    EXPECT_EQ(log.droppedLines(), 995U);
}

TEST_F(EventLogTest, OneKindsFloodLeavesRoomForOthers)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 1;
    EventLog log(settings);
    for (int i = 0; i < 10; i++)
        log.write(LogKind::Task, "run ended", {}, start, 1700);
    log.write(LogKind::Leadership, "deposed", {}, start, 1700);
    EXPECT_NE(this->drain().find("deposed"), std::string::npos);
}

TEST_F(EventLogTest, ReaderThatDoesNotReadBlocksNothing)
{
    EventLog::Settings settings = this->settings();
    settings.linesPerSecond = 1'000'000;
    EventLog log(settings);
    const std::string payload(500, 'x');
    // Far more than pipe and buffer take; a write that blocked would never return.
    for (int i = 0; i < 5000; i++)
        log.write(LogKind::Request, "accepted", {{"text", payload}}, start, 1700);
    EXPECT_GT(log.droppedLines(), 0U);
}

} // namespace

} // namespace Hibiscus::Runtime
