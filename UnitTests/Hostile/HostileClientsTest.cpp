#include "HostileClient.h"

#include <Runtime/HttpClient.h>
#include <Soak/SoakSite.h>
#include <Soak/StandInWire.h>

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace Hibiscus::Test {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

constexpr long memoryMiB = 48; ///< Memory of the instance's machine.
constexpr std::size_t fewDescriptors = 256;
constexpr std::size_t manyDescriptors = 1200;
constexpr std::size_t kibibyte = 1024;
constexpr std::size_t mebibyte = 1024 * kibibyte;
/// Ends a test whose process hangs. No test passes or fails by the time that it takes.
constexpr Duration hangTime = seconds(180);

constexpr const char *chunkedHeader = "POST /p2/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n"
                                      "Authorization: Bearer key-1\r\n"
                                      "Transfer-Encoding: chunked\r\n\r\n";

/// A seed, and so an address, that neither the soak nor another run of these tests uses.
std::uint64_t seedOfThisProcess()
{
    constexpr std::uint64_t first = 40'000;
    constexpr std::uint64_t count = 20'000;
    return first + static_cast<std::uint64_t>(getpid()) % count;
}

/// One instance of the program with a small machine, and a crowd of clients that nobody controls.
class HostileClients : public testing::Test
{
protected:
    void startInstance(std::size_t maxDescriptors)
    {
        namespace fs = std::filesystem;
        this->maxDescriptors = maxDescriptors;
        fs::remove_all(LOG_FOLDER);
        fs::create_directories(LOG_FOLDER);
        Soak::SoakSite::Settings settings;
        settings.seed = seedOfThisProcess();
        settings.program = HIBISCUS_NODE;
        settings.folder = LOG_FOLDER;
        settings.instances = 1;
        settings.workers = 2;
        settings.moreSettings = "[limits]\nmemoryMb = " + std::to_string(memoryMiB)
            + "\nmaxFds = " + std::to_string(maxDescriptors) + "\n";
        this->site.emplace(this->loop, settings);
        this->site->configure({"key-1"});
        const asio::ip::tcp::endpoint address = this->site->directAddress(0);
        this->address = address.address().to_string() + ":" + std::to_string(address.port());
        ASSERT_TRUE(this->answersOrdinaryCaller());
    }

    void addCrowd(int size, const HostileScript &script)
    {
        for (int i = 0; i < size; i++) {
            this->crowd.push_back(std::make_shared<HostileClient>(this->loop, script));
            this->crowd.back()->start(this->site->directAddress(0));
        }
    }

    /// Runs until each client of the crowd has sent its script or lost its connection.
    void playCrowd()
    {
        this->runUntil([this] {
            return std::all_of(this->crowd.begin(), this->crowd.end(),
                               [](const auto &client) { return client->isDone(); });
        });
    }

    /// What has to hold whatever clients send.
    void expectSound()
    {
        Soak::ChildProcess &process = this->site->process(0);
        EXPECT_TRUE(this->answersOrdinaryCaller());
        EXPECT_TRUE(process.isRunning());
        RecordProperty("peakMemoryKiB", std::to_string(process.peakMemoryKiB()));
        RecordProperty("mostDescriptors", std::to_string(this->mostDescriptors));
        EXPECT_GT(process.peakMemoryKiB(), 0);
        EXPECT_LT(process.peakMemoryKiB(), memoryMiB * 1024);
        EXPECT_LE(this->mostDescriptors, this->maxDescriptors);
    }

    /// Whether a caller who submits a job, and again after 502 to 504 or no answer, has it
    /// accepted.
    bool answersOrdinaryCaller()
    {
        const std::string body = Soak::encodeJob("work", 1, 0, false, false);
        bool accepted = false;
        constexpr int maxTries = 100;
        for (int tries = 0; tries < maxTries && !accepted && this->site->process(0).isRunning();
             tries++) {
            Runtime::HttpClient caller(this->loop, this->address, {});
            const auto answer = std::make_shared<std::optional<Runtime::HttpResult>>();
            caller.call(
                {.verb = http::verb::post,
                 .target = "/p0/00000000000000" + std::to_string(10 + this->jobs),
                 .headers = {{"Host", Soak::configurationHost}, {"Authorization", "Bearer key-1"}},
                 .body = body},
                seconds(20), [answer](const Runtime::HttpResult &result) { *answer = result; });
            this->runUntil([&answer] { return answer->has_value(); });
            accepted = *answer && (*answer)->status == 200;
            if (!accepted)
                this->loop.run_for(milliseconds(50));
        }
        this->jobs++;
        return accepted;
    }

    void runUntil(const std::function<bool()> &done)
    {
        const TimePoint end = this->site->now() + hangTime;
        while (!done() && this->site->process(0).isRunning() && this->site->now() < end) {
            this->loop.run_for(milliseconds(20));
            this->mostDescriptors
                = std::max(this->mostDescriptors, this->site->process(0).descriptorCount());
        }
        EXPECT_TRUE(done());
    }

    asio::io_context loop{1};
    std::optional<Soak::SoakSite> site;
    std::string address;
    std::vector<std::shared_ptr<HostileClient>> crowd;
    std::size_t maxDescriptors = 0;
    std::size_t mostDescriptors = 0;
    int jobs = 0;
};

std::string blockOf(const std::string &text, std::size_t bytes)
{
    std::string block;
    while (block.size() < bytes)
        block += text;
    return block;
}

TEST_F(HostileClients, TrailersWithoutEnd)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(4,
                   {.opening = std::string(chunkedHeader) + "0\r\n",
                    .repeated = blockOf("Field: value\r\n", 16'384),
                    .maxBytes = 32 * mebibyte});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ChunkExtensionWithoutEnd)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(4,
                   {.opening = std::string(chunkedHeader) + "1",
                    .repeated = blockOf(";name=value", 16'384),
                    .maxBytes = 32 * mebibyte});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, HeaderWithoutEnd)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(4,
                   {.opening = "GET /p0/ HTTP/1.1\r\n",
                    .repeated = blockOf("Field: value\r\n", 16'384),
                    .maxBytes = 32 * mebibyte});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ManyNearlyFullBodies)
{
    this->startInstance(manyDescriptors);
    constexpr std::size_t limit = 256 * kibibyte;
    this->addCrowd(300,
                   {.opening = "POST /p2/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\n"
                               "Authorization: Bearer key-1\r\nContent-Length: "
                        + std::to_string(limit) + "\r\n\r\n" + std::string(limit - 1, ' ')});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ManyHeadersOfTinyFields)
{
    this->startInstance(manyDescriptors);
    this->addCrowd(300,
                   {.opening = "POST /p2/00000000000000aa HTTP/1.1\r\nContent-Length: 2\r\n"
                        + blockOf("a:\r\n", 16'000) + "\r\n "});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ManyIdleConnections)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(400, {});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ManyUnfinishedHeaders)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(400, {.opening = "GET /p0/ HTTP/1.1\r\nHost: jobs"});
    this->playCrowd();
    this->expectSound();
}

TEST_F(HostileClients, ResponsesThatAreNotRead)
{
    this->startInstance(fewDescriptors);
    this->addCrowd(30,
                   {.repeated = blockOf("GET /none HTTP/1.1\r\nHost: jobs.example\r\n\r\n", 16'384),
                    .maxBytes = 64 * mebibyte,
                    .reads = false});
    this->playCrowd();
    this->expectSound();
}

/// A request with a valid key; the last one of a connection has it closed after the response.
std::string requestText(const std::string &verb, int number, const std::string &key,
                        const std::string &body, bool isLast)
{
    return verb + " /p2/" + std::to_string(1'000'000'000'000'000 + number)
        + " HTTP/1.1\r\nHost: jobs.example\r\nAuthorization: Bearer " + key
        + (isLast ? "\r\nConnection: close" : "")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

TEST_F(HostileClients, DeeplyNestedBodies)
{
    this->startInstance(fewDescriptors);
    std::string requests;
    for (int i = 0; i < 5; i++)
        requests += requestText("POST", i, "key-1", std::string(200 * kibibyte, '['), i == 4);
    this->addCrowd(20, {.opening = requests, .untilClosed = true});
    this->playCrowd();
    this->expectSound();
}

/// A payload is limited to 4,000 bytes, the body of a submission to far more. Accepted jobs stay in
/// the memory of the leader.
TEST_F(HostileClients, ManyJobsWithLongPayloads)
{
    this->startInstance(fewDescriptors);
    const std::string body = Soak::encodeJob(std::string(150 * kibibyte, 'x'), 1, 0, false, false);
    constexpr int jobsPerClient = 60;
    for (int client = 0; client < 10; client++) {
        std::string requests;
        for (int job = 0; job < jobsPerClient; job++)
            requests += requestText("POST", client * jobsPerClient + job, "key-1", body,
                                    job + 1 == jobsPerClient);
        this->addCrowd(1, {.opening = requests, .untilClosed = true});
    }
    this->playCrowd();
    this->expectSound();
}

/// While the store is silent, whole requests wait in the handler until the configuration is
/// confirmed.
TEST_F(HostileClients, ManyWholeRequestsWhileTheStoreIsSilent)
{
    this->startInstance(manyDescriptors);
    this->site->setStoreBehaviorForAll(Soak::StoreBehavior::Unresponsive);
    this->loop.run_for(seconds(5)); // Until the instance's configuration is out of date.
    this->addCrowd(
        300,
        {.opening = requestText("POST", 0, "key-1", std::string(250 * kibibyte, ' '), true),
         .untilClosed = true});
    this->playCrowd();
    this->site->setStoreBehaviorForAll(Soak::StoreBehavior::Normal);
    this->expectSound();
}

TEST_F(HostileClients, ManyUnknownKeysAndIds)
{
    this->startInstance(fewDescriptors);
    std::string requests;
    constexpr int count = 2000;
    for (int i = 0; i < count; i++)
        requests += requestText("GET", i, std::to_string(i) + std::string(2000, 'k'), "",
                                i + 1 == count);
    this->addCrowd(20, {.opening = requests, .untilClosed = true});
    this->playCrowd();
    this->expectSound();
}

} // namespace

} // namespace Hibiscus::Test
