#include <Gateway/LiveList.h>
#include <Gateway/StoreClient.h>
#include <StandIns/StandInPlatformServer.h>

#include <condition_variable>
#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace Hibiscus {
namespace {

constexpr const char *host = "127.0.0.1";
/// Long enough that no test fails because of it on a slow machine.
constexpr Duration generousTimeout = seconds(60);

/// Records the changes that a watch delivers as text, and waits until the text is as expected.
class WatchRecorder
{
public:
    void add(const StoreWatchBatch &batch)
    {
        const std::scoped_lock lock(this->mutex);
        for (const StoreEntry &entry : batch.written)
            this->text += "+" + entry.key + "=" + entry.value;
        for (const std::string &key : batch.removed)
            this->text += "-" + key;
        this->changed.notify_all();
    }

    void waitFor(const std::string &expected)
    {
        std::unique_lock lock(this->mutex);
        this->changed.wait(lock, [&] { return this->text == expected; });
    }

private:
    std::mutex mutex;
    std::condition_variable changed;
    std::string text;
};

class StandInPlatformServerTest : public testing::Test
{
protected:
    StandInPlatformServerTest()
        : server({.connections = 8})
        , port(this->server.start().value())
    {}

    StoreClient client(Duration timeout = generousTimeout) const
    {
        return StoreClient({.host = host, .port = this->port, .timeout = timeout});
    }

    std::string get(const std::string &path) const
    {
        return httplib::Client(host, this->port).Get(path)->body;
    }

    int post(const std::string &path, const std::string &body) const
    {
        return httplib::Client(host, this->port).Post(path, body, "application/json")->status;
    }

    StandInPlatformServer server;
    std::uint16_t port;
};

StoreRequest makeSwap(const std::string &key, const std::string &value, std::int64_t revision)
{
    return {.verb = StoreVerb::CompareAndSwap, .key = key, .value = value, .revision = revision};
}

TEST_F(StandInPlatformServerTest, ClientExecutesEveryVerbOverHttp)
{
    StoreClient store = this->client();
    const std::string key("a\0\xFF", 3);
    const StoreReply lease = store.execute({.verb = StoreVerb::GrantLease, .term = seconds(600)});
    ASSERT_EQ(lease.status, StoreStatus::Ok);
    StoreRequest bound = makeSwap(key, "\xFFvalue", 0);
    bound.lease = lease.lease;
    const StoreReply written = store.execute(bound);
    ASSERT_EQ(written.status, StoreStatus::Ok);
    EXPECT_EQ(store.execute({.verb = StoreVerb::Get, .key = key}).entries, written.entries);
    EXPECT_EQ(store.execute({.verb = StoreVerb::List, .key = "a", .end = "b"}).entries,
              written.entries);
    const StoreReply conflict = store.execute(makeSwap(key, "other", 0));
    EXPECT_EQ(conflict.status, StoreStatus::Conflict);
    EXPECT_EQ(conflict.entries, written.entries);
    EXPECT_EQ(store.execute({.verb = StoreVerb::KeepLease, .lease = lease.lease}).status,
              StoreStatus::Ok);
    EXPECT_EQ(store.execute({.verb = StoreVerb::RevokeLease, .lease = lease.lease}).status,
              StoreStatus::Ok);
    EXPECT_EQ(store.execute({.verb = StoreVerb::KeepLease, .lease = lease.lease}).status,
              StoreStatus::Conflict);
    EXPECT_TRUE(store.execute({.verb = StoreVerb::Get, .key = key}).entries.empty());
    const StoreReply again = store.execute(makeSwap(key, "again", 0));
    EXPECT_EQ(
        store
            .execute(
                {.verb = StoreVerb::Remove, .key = key, .revision = again.entries.at(0).revision})
            .status,
        StoreStatus::Ok);
}

TEST_F(StandInPlatformServerTest, WatchDeliversChangesUntilStopped)
{
    StoreClient store = this->client();
    const std::int64_t from = store.execute(makeSwap("jobs/1", "a", 0)).storeRevision;
    WatchRecorder log;
    bool stopped = false;
    std::jthread watcher([&](const std::stop_token &stop) {
        stopped = this->client().watch(
            "jobs/", from, [&](const StoreWatchBatch &batch) { log.add(batch); }, stop);
    });
    log.waitFor("+jobs/1=a");
    store.execute(makeSwap("other", "x", 0));
    store.execute({.verb = StoreVerb::Remove, .key = "jobs/1", .revision = from});
    log.waitFor("+jobs/1=a-jobs/1");
    watcher.request_stop();
    watcher.join();
    EXPECT_TRUE(stopped);
}

TEST_F(StandInPlatformServerTest, BrokenWatchReturnsFalseWithoutAStopRequest)
{
    WatchRecorder log;
    const auto deliver = [&](const StoreWatchBatch &batch) { log.add(batch); };
    this->client().execute(makeSwap("a", "1", 0));
    bool stopped = true;
    std::jthread watcher([&](const std::stop_token &stop) {
        stopped = this->client().watch("a", 1, deliver, stop);
    });
    log.waitFor("+a=1");
    this->server.setFaults({.breakWatches = true});
    watcher.join();
    EXPECT_FALSE(stopped);
    EXPECT_FALSE(this->client().watch("a", 1, deliver, {}));
}

TEST_F(StandInPlatformServerTest, WatchOfDisconnectedClientFreesItsConnection)
{
    StandInPlatformServer other({.connections = 2});
    const StoreClient::Settings settings{
        .host = host, .port = other.start().value(), .timeout = generousTimeout};
    const std::int64_t revision
        = StoreClient(settings).execute(makeSwap("a", "1", 0)).storeRevision;
    for (int i = 0; i < 2; ++i) {
        std::stop_source stop;
        const auto stopWatch = [&](const StoreWatchBatch &) { stop.request_stop(); };
        EXPECT_TRUE(StoreClient(settings).watch("a", revision, stopWatch, stop.get_token()));
    }
    EXPECT_EQ(StoreClient(settings).execute({.verb = StoreVerb::Get, .key = "a"}).status,
              StoreStatus::Ok);
}

TEST_F(StandInPlatformServerTest, FaultsSetOverHttpAffectTheClient)
{
    StoreClient store = this->client();
    ASSERT_EQ(this->post("/v1/faults", R"({"loseAnswers":1})"), 204);
    EXPECT_EQ(store.execute(makeSwap("a", "1", 0)), StoreReply{});
    EXPECT_EQ(store.execute({.verb = StoreVerb::Get, .key = "a"}).entries.at(0).value, "1");
    ASSERT_EQ(this->post("/v1/faults", R"({"down":true})"), 204);
    EXPECT_EQ(store.execute({.verb = StoreVerb::Get, .key = "a"}), StoreReply{});
    ASSERT_EQ(this->post("/v1/faults", R"({"down":false,"slowMs":600000})"), 204);
    EXPECT_EQ(this->client(milliseconds(50)).execute({.verb = StoreVerb::Get, .key = "a"}),
              StoreReply{});
    EXPECT_EQ(this->post("/v1/faults", R"({"down":"yes"})"), 400);
}

TEST_F(StandInPlatformServerTest, StoppedServerYieldsNoAnswer)
{
    StandInPlatformServer other({.connections = 2, .idleTimeout = seconds(1)});
    StoreClient store({.host = host, .port = other.start().value(), .timeout = generousTimeout});
    ASSERT_EQ(store.execute({.verb = StoreVerb::Get, .key = "a"}).status, StoreStatus::Ok);
    other.stop();
    EXPECT_EQ(store.execute({.verb = StoreVerb::Get, .key = "a"}), StoreReply{});
    EXPECT_FALSE(store.watch("a", 1, [](const StoreWatchBatch &) {}, {}));
}

TEST_F(StandInPlatformServerTest, AnswerThatArrivesTooSlowlyIsAbortedAtTheTimeout)
{
    // The answer is complete only after five seconds, but bytes arrive at short intervals, so that
    // a timeout between two reads never ends the call.
    constexpr std::size_t blankCount = 5000;
    HttpServer slowServer(2, seconds(1));
    const auto sendSlowly = [](std::size_t offset, httplib::DataSink &sink) {
        const std::string answer = R"({"header":{"revision":"7"}})";
        std::this_thread::sleep_for(milliseconds(1));
        if (offset < blankCount)
            return sink.write(" ", 1);
        sink.write(answer.data(), answer.size());
        sink.done();
        return true;
    };
    slowServer.routes().Post(".*", [&](const httplib::Request &, httplib::Response &response) {
        response.set_chunked_content_provider("application/json", sendSlowly);
    });
    const std::uint16_t slowPort = slowServer.listen(host, 0).value();
    StoreClient store({.host = host, .port = slowPort, .timeout = milliseconds(200)});
    EXPECT_EQ(store.execute({.verb = StoreVerb::Get, .key = "a"}), StoreReply{});
}

TEST_F(StandInPlatformServerTest, TooLargeValueIsRefusedAndNotStored)
{
    StoreClient store = this->client();
    const std::string tooLarge(StandInStore::maxValueBytes + 1, 'x');
    EXPECT_EQ(store.execute(makeSwap("a", tooLarge, 0)).status, StoreStatus::NoAnswer);
    EXPECT_TRUE(store.execute({.verb = StoreVerb::Get, .key = "a"}).entries.empty());
    EXPECT_EQ(store.execute(makeSwap("a", tooLarge.substr(1), 0)).status, StoreStatus::Ok);
}

TEST_F(StandInPlatformServerTest, LiveListIsServedAndMarksNamesAsLeaving)
{
    LiveListClient client({.host = host, .port = this->port, .timeout = generousTimeout});
    LiveList list;
    list.workers.push_back({.name = "w", .dataCenter = "athens", .host = host, .port = 1});
    ASSERT_EQ(this->post("/v1/live", toJson(list)), 204);
    EXPECT_EQ(client.fetch(), list);
    EXPECT_EQ(this->post("/v1/leaving/none", ""), 404);
    EXPECT_EQ(this->post("/v1/leaving/w", ""), 204);
    list.workers[0].leaving = true;
    EXPECT_EQ(client.fetch(), list);
    EXPECT_EQ(this->post("/v1/live", "[]"), 400);
    this->server.stop();
    EXPECT_FALSE(client.fetch());
}

TEST_F(StandInPlatformServerTest, CallsAreCountedByVerbAndBytesAreCounted)
{
    this->client().execute(makeSwap("a", "1", 0));
    this->client().execute({.verb = StoreVerb::Get, .key = "a"});
    const std::string counters = this->get("/v1/counters");
    EXPECT_NE(counters.find(R"("calls":{"get":1,"grantLease":0,"keepLease":0,"list":0,"remove":0,)"
                            R"("revokeLease":0,"swap":1,"watch":0})"),
              std::string::npos)
        << counters;
    EXPECT_EQ(counters.find(R"("bytesReceived":0,)"), std::string::npos);
}

TEST(StandInLiveList, ChangesAreVisibleAfterTheLag)
{
    StandInLiveList live(seconds(3));
    LiveList list;
    list.workers.push_back({.name = "w"});
    const TimePoint start{seconds(1000)};
    EXPECT_EQ(live.visibleAt(start), LiveList{});
    live.set(list, start);
    EXPECT_EQ(live.visibleAt(start), list);
    ASSERT_TRUE(live.markLeaving("w", start + seconds(1)));
    live.set({}, start + seconds(2));
    EXPECT_EQ(live.visibleAt(start + milliseconds(3999)), list);
    EXPECT_TRUE(live.visibleAt(start + seconds(4)).workers.at(0).leaving);
    EXPECT_EQ(live.visibleAt(start + seconds(5)), LiveList{});
}

TEST(GatewayServerCodec, UnsupportedRequestIsRefusedWithItsLocation)
{
    const std::string compare = R"("compare":[{"key":"YQ==","target":"MOD","mod_revision":"1"}])";
    const std::string failure = R"("failure":[{"request_range":{"key":"YQ=="}}])";
    const auto errorLocation = [](const std::string &path, const std::string &body) {
        const auto request = decodeStoreRequest(path, body);
        return request ? "none" : request.error().all().at(0).location;
    };
    const std::string txn = "/v3/kv/txn";
    const std::string put = R"("success":[{"request_put":{"key":"YQ=="}}])";
    EXPECT_EQ(errorLocation(txn, "{" + compare + "," + put + "," + failure + "}"), "none");
    EXPECT_EQ(errorLocation(txn, "{" + put + "," + failure + "}"), "/compare");
    EXPECT_EQ(errorLocation(txn, "{" + compare + "," + failure + "}"), "/success");
    EXPECT_EQ(errorLocation(txn, "{" + compare + "," + put + "}"), "/failure");
    EXPECT_EQ(errorLocation(txn,
                            "{" + compare + R"(,"success":[{"request_put":{"key":"Yg=="}}],)"
                                + failure + "}"),
              "/success/0/request_put/key");
    EXPECT_EQ(errorLocation("/v3/kv/range", R"({"key":"Y"})"), "/key");
    EXPECT_EQ(errorLocation("/v3/lease/grant", R"({"TTL":"0"})"), "/TTL");
    EXPECT_EQ(errorLocation("/v3/kv/put", "{}"), "/v3/kv/put");
}

} // namespace
} // namespace Hibiscus
