#include <Endpoint/WorkerClient.h>
#include <Gateway/StoreClient.h>
#include <StandIns/StandInWorkerServer.h>

#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <set>
#include <thread>
#include <unistd.h>

namespace Hibiscus {
namespace {

constexpr const char *host = "127.0.0.1";
/// Long enough that no test fails because of it on a slow machine.
constexpr Duration generousTimeout = seconds(60);

/// Binds a port without listening on it, so that connections to it are refused.
class PortWithoutListener
{
public:
    PortWithoutListener()
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *const generic = reinterpret_cast<sockaddr *>(&address);
        EXPECT_EQ(bind(this->descriptor, generic, length), 0);
        EXPECT_EQ(getsockname(this->descriptor, generic, &length), 0);
        this->port = ntohs(address.sin_port);
    }
    ~PortWithoutListener() { close(this->descriptor); }
    PortWithoutListener(const PortWithoutListener &) = delete;
    PortWithoutListener &operator=(const PortWithoutListener &) = delete;

    std::uint16_t port = 0;

private:
    int descriptor;
};

class StandInWorkerServerTest : public testing::Test
{
protected:
    StandInWorkerServerTest()
        : runLogFile(testing::TempDir() + "runs-" + std::to_string(getpid()))
        , server({.worker = {.name = "w", .incarnation = "i"},
                  .connections = 8,
                  .runLogFile = this->runLogFile})
        , port(this->server.start().value())
    {}
    ~StandInWorkerServerTest() override { std::remove(this->runLogFile.c_str()); }

    WorkerClient client(Duration timeout = generousTimeout) const
    {
        return WorkerClient({.host = host, .port = this->port, .timeout = timeout});
    }

    static WorkerRequest makeRequest(WorkerVerb verb)
    {
        return {.verb = verb,
                .owner = "owner",
                .epoch = 1,
                .task = "t",
                .slots = 1,
                .payload = R"({"runMs":1})",
                .job = "job",
                .ownerTerm = generousTimeout,
                .taskTerm = generousTimeout,
                .wait = generousTimeout};
    }

    std::string runLogFile;
    StandInWorkerServer server;
    std::uint16_t port;
};

TEST_F(StandInWorkerServerTest, ClientStartsATaskAndWaitsForItsResult)
{
    WorkerClient client = this->client();
    ASSERT_EQ(client.execute(makeRequest(WorkerVerb::Acquire)).status, WorkerStatus::Ok);
    const WorkerReply started = client.execute(makeRequest(WorkerVerb::Start));
    ASSERT_EQ(started.status, WorkerStatus::Ok);
    WorkerRequest collect = makeRequest(WorkerVerb::Collect);
    collect.sequence = started.reports.at(0).sequence;
    const WorkerReply collected = client.execute(collect);
    ASSERT_EQ(collected.reports.size(), 1U);
    EXPECT_EQ(collected.reports[0].state, TaskState::Done);
    EXPECT_EQ(collected.reports[0].result, R"({"echo":"{\"runMs\":1}","task":"t","worker":"w"})");
    EXPECT_EQ(collected.incarnation, "i");
}

TEST_F(StandInWorkerServerTest, WaitingCollectReturnsWhenAnotherConnectionStartsATask)
{
    WorkerClient client = this->client();
    client.execute(makeRequest(WorkerVerb::Acquire));
    WorkerReply collected;
    std::jthread waiter(
        [&] { collected = this->client().execute(makeRequest(WorkerVerb::Collect)); });
    client.execute(makeRequest(WorkerVerb::Start));
    waiter.join();
    EXPECT_EQ(collected.reports.at(0).task, "t");
}

TEST_F(StandInWorkerServerTest, NotDeliveredIsReportedOnlyIfNoConnectionWasMade)
{
    const PortWithoutListener closedPort;
    WorkerClient refused({.host = host, .port = closedPort.port, .timeout = generousTimeout});
    EXPECT_EQ(refused.execute(makeRequest(WorkerVerb::Acquire)).status, WorkerStatus::NotDelivered);

    WorkerClient client = this->client();
    client.execute(makeRequest(WorkerVerb::Acquire));
    this->server.setFaults({.loseAnswers = 1});
    EXPECT_EQ(client.execute(makeRequest(WorkerVerb::Start)).status, WorkerStatus::NoAnswer);
    EXPECT_EQ(client.execute(makeRequest(WorkerVerb::Start)).status, WorkerStatus::Seen);
}

TEST_F(StandInWorkerServerTest, RequestOnAKeptConnectionToAStoppedWorkerIsNotDelivered)
{
    StandInWorkerServer other({.connections = 2, .idleTimeout = seconds(1)});
    WorkerClient client({.host = host, .port = other.start().value(), .timeout = generousTimeout});
    ASSERT_EQ(client.execute(makeRequest(WorkerVerb::Acquire)).status, WorkerStatus::Ok);
    other.stop();
    EXPECT_EQ(client.execute(makeRequest(WorkerVerb::Start)).status, WorkerStatus::NotDelivered);
}

TEST_F(StandInWorkerServerTest, UndecodableReplyIsNoAnswer)
{
    HttpServer other(2, seconds(1));
    other.routes().Post("/v1/worker", [](const httplib::Request &, httplib::Response &response) {
        sendJson(response, R"({"status":"fine"})");
    });
    WorkerClient client(
        {.host = host, .port = other.listen(host, 0).value(), .timeout = generousTimeout});
    EXPECT_EQ(client.execute(makeRequest(WorkerVerb::Acquire)).status, WorkerStatus::NoAnswer);
}

TEST_F(StandInWorkerServerTest, ClientsReuseTheirConnectionBetweenCalls)
{
    HttpServer other(2, seconds(60));
    std::mutex mutex;
    std::set<int> clientPorts;
    other.routes().Post(".*", [&](const httplib::Request &http, httplib::Response &response) {
        const std::scoped_lock lock(mutex);
        clientPorts.insert(http.remote_port);
        sendJson(response, "{}");
    });
    const std::uint16_t otherPort = other.listen(host, 0).value();
    WorkerClient worker({.host = host, .port = otherPort, .timeout = generousTimeout});
    StoreClient store({.host = host, .port = otherPort, .timeout = generousTimeout});
    for (int i = 0; i < 3; ++i) {
        worker.execute(makeRequest(WorkerVerb::Renew));
        store.execute({.verb = StoreVerb::Get, .key = "a"});
    }
    EXPECT_EQ(clientPorts.size(), 2U);
}

TEST_F(StandInWorkerServerTest, StartsAreInTheRunLogBeforeTheReplyIsSent)
{
    WorkerClient client = this->client();
    client.execute(makeRequest(WorkerVerb::Acquire));
    client.execute(makeRequest(WorkerVerb::Start));
    std::ifstream file(this->runLogFile);
    std::string line;
    ASSERT_TRUE(std::getline(file, line));
    EXPECT_NE(line.find(R"("event":"started")"), std::string::npos) << line;
    EXPECT_NE(line.find(R"("job":"job")"), std::string::npos) << line;
    httplib::Client http(host, this->port);
    const std::string runs = http.Get("/v1/runs")->body;
    EXPECT_NE(runs.find(R"("tasks":{"t":1})"), std::string::npos) << runs;
}

TEST_F(StandInWorkerServerTest, FaultsAreSetAndReadOverHttp)
{
    httplib::Client http(host, this->port);
    ASSERT_EQ(http.Post("/v1/faults", R"({"hang":true,"lateMs":5})", "application/json")->status,
              204);
    EXPECT_EQ(http.Get("/v1/faults")->body,
              R"({"crossed":false,"die":false,"failEverything":false,"hang":true,"lateMs":5,)"
              R"("leaving":false,"loseAnswers":0})");
    const auto refused = http.Post("/v1/faults", R"({"lateMs":-1})", "application/json");
    EXPECT_EQ(refused->status, 400);
    EXPECT_NE(refused->body.find("/lateMs"), std::string::npos);
}

TEST_F(StandInWorkerServerTest, DieFaultEndsTheProcess)
{
    GTEST_FLAG_SET(death_test_style, "threadsafe");
    EXPECT_EXIT(this->server.setFaults({.die = true}), testing::ExitedWithCode(EXIT_FAILURE), "");
}

} // namespace
} // namespace Hibiscus
