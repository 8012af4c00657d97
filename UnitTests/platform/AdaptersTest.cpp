#include "../Runtime/ClosingServer.h"

#include <Runtime/Clock.h>
#include <Runtime/HttpServer.h>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <platform/PlacementAdapter.h>
#include <platform/StoreAdapter.h>
#include <platform/WorkerAdapter.h>

namespace Hibiscus::Platform {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using nlohmann::json;

/// Runs the adapters against a server on the loopback address that records the last request and
/// answers with a status and body set by the test.
class AdapterTest : public testing::Test
{
protected:
    AdapterTest()
        : server(
            this->loop, {asio::ip::address_v4::loopback(), 0},
            [this](const Runtime::HttpRequest &request, const Runtime::HttpResponder &responder) {
                this->lastRequest = request;
                Runtime::HttpResponse response(http::int_to_status(this->responseStatus), 11);
                response.body() = this->responseBody;
                responder(response);
            },
            {})
    {
        this->worker.id = "i-7";
        this->worker.address = this->address;
    }

    template <class Answer>
    Answer wait(std::optional<Answer> &answer)
    {
        while (!answer)
            this->loop.run_one();
        return *answer;
    }

    Tasks::WorkerAnswer startAndWait(const Tasks::StartOrder &order)
    {
        std::optional<Tasks::WorkerAnswer> answer;
        this->workers.start(this->worker, order, seconds(20),
                            [&answer](const Tasks::WorkerAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    }

    Tasks::StoreAnswer readAndWait(const std::string &key)
    {
        std::optional<Tasks::StoreAnswer> answer;
        this->store.read(key, seconds(20),
                         [&answer](const Tasks::StoreAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    }

    Tasks::PlacementAnswer requestPermits()
    {
        std::optional<Tasks::PlacementAnswer> answer;
        this->placement.requestPermits(
            {"5c0e7a21d94b36f8", 2, 1}, {"i-7", "i-8"}, seconds(20),
            [&answer](const Tasks::PlacementAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    }

    json requestBody() const { return json::parse(this->lastRequest.body()); }

    asio::io_context loop;
    Runtime::HttpServer server;
    std::string address = "127.0.0.1:" + std::to_string(this->server.port());
    Runtime::HttpRequest lastRequest;
    unsigned responseStatus = 200;
    std::string responseBody = "{}";
    Tasks::WorkerEntry worker;
    WorkerAdapter workers{this->loop, Runtime::monotonicNow};
    StoreAdapter store{this->loop, this->address, Runtime::monotonicNow};
    PlacementAdapter placement{this->loop, this->address, Runtime::monotonicNow};
};

TEST_F(AdapterTest, StartRequestContainsTaskRunLeaseAndPermit)
{
    Tasks::StartOrder order;
    order.run = {"5c0e7a21d94b36f8", {0, 1, 17}, 2};
    order.payload = "p";
    order.leaseUntil = 486000;
    order.fencingToken = 7;
    order.permit = "t-1";
    this->responseBody = R"({"clockMs":482113,"born":99})";
    const Tasks::WorkerAnswer answer = this->startAndWait(order);
    EXPECT_EQ(answer.outcome, Tasks::WorkerOutcome::Done);
    EXPECT_EQ(answer.clock, 482113);
    EXPECT_EQ(answer.incarnation, 99);
    EXPECT_EQ(this->lastRequest.target(), "/run-start");
    EXPECT_EQ(this->lastRequest["Expect-Instance"], "i-7");
    const json expected = {{"task", "5c0e7a21d94b36f8.0.1.17"},
                           {"run", 2},
                           {"spec", "p"},
                           {"deadlineMs", 486000},
                           {"fencingToken", 7},
                           {"ticket", "t-1"}};
    EXPECT_EQ(this->requestBody(), expected);
}

TEST_F(AdapterTest, StartOrderIsSentOnceWhenItsReusedConnectionIsLost)
{
    Runtime::ClosingServer peer(this->loop);
    this->worker.address = peer.address();
    EXPECT_EQ(this->startAndWait({}).outcome, Tasks::WorkerOutcome::Done);
    EXPECT_EQ(this->startAndWait({}).outcome, Tasks::WorkerOutcome::Unknown);
    EXPECT_EQ(peer.requests, 2);
}

TEST_F(AdapterTest, AcknowledgementIsSentOnceWhenItsReusedConnectionIsLost)
{
    Runtime::ClosingServer peer(this->loop);
    this->worker.address = peer.address();
    const auto renew = [this](std::int64_t endsRecorded) {
        std::optional<Tasks::WorkerAnswer> answer;
        Tasks::RenewOrder order;
        order.endsRecorded = endsRecorded;
        this->workers.renew(this->worker, order, seconds(20),
                            [&answer](const Tasks::WorkerAnswer &a, TimePoint) { answer = a; });
        this->wait(answer);
    };
    renew(0);
    renew(3);
    EXPECT_EQ(peer.requests, 2);
}

TEST_F(AdapterTest, CommitIsSentOnceWhenItsReusedConnectionIsLost)
{
    Runtime::ClosingServer peer(this->loop);
    StoreAdapter lossyStore(this->loop, peer.address(), Runtime::monotonicNow);
    const auto commit = [&] {
        std::optional<Tasks::StoreAnswer> answer;
        lossyStore.commit({}, seconds(20),
                          [&answer](const Tasks::StoreAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    };
    EXPECT_EQ(commit().outcome, Tasks::StoreOutcome::Done);
    EXPECT_EQ(commit().outcome, Tasks::StoreOutcome::Unknown);
    EXPECT_EQ(peer.requests, 2);
}

TEST_F(AdapterTest, RejectionReasonsAndStatusCodesMapToOutcomes)
{
    struct Case
    {
        const char *reason;
        Tasks::WorkerOutcome outcome;
    };
    static constexpr Case cases[] = {{"fence", Tasks::WorkerOutcome::Fenced},
                                     {"old", Tasks::WorkerOutcome::Superseded},
                                     {"late", Tasks::WorkerOutcome::LeaseExpired},
                                     {"room", Tasks::WorkerOutcome::NoRoom},
                                     {"ticket", Tasks::WorkerOutcome::NotPermitted}};
    this->responseStatus = 409;
    for (const Case &rejection : cases) {
        this->responseBody = json{{"reason", rejection.reason}}.dump();
        EXPECT_EQ(this->startAndWait({}).outcome, rejection.outcome) << rejection.reason;
    }
    this->responseStatus = 503;
    EXPECT_EQ(this->startAndWait({}).outcome, Tasks::WorkerOutcome::Unhealthy);
    this->responseStatus = 500;
    EXPECT_EQ(this->startAndWait({}).outcome, Tasks::WorkerOutcome::Unknown);
}

TEST_F(AdapterTest, RunningAndEndedTasksAreDecoded)
{
    this->responseBody = R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41,250],
        ["5c0e7a21d94b36f8.0.1.18",1,"",7]],"ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"broken",""],
        [59,"no task",1,"done",""]]})";
    std::optional<Tasks::WorkerAnswer> result;
    this->workers.renew(this->worker, {0, 7, 57, {}}, seconds(20),
                        [&result](const Tasks::WorkerAnswer &a, TimePoint) { result = a; });
    const Tasks::WorkerAnswer answer = this->wait(result);
    ASSERT_EQ(answer.running.size(), 2U);
    EXPECT_EQ(answer.running[0].checkpoint, "cp");
    EXPECT_DOUBLE_EQ(answer.running[0].load, 250.0);
    EXPECT_EQ(answer.running[1].percent, 7);
    ASSERT_EQ(answer.ended.size(), 1U);
    EXPECT_EQ(answer.ended[0].cause, Tasks::EndCause::GangMemberEnded);
    EXPECT_EQ(this->requestBody(), (json{{"fencingToken", 7}, {"ackedUpto", 57}}));
}

TEST_F(AdapterTest, UnreadableAnswerDoesNotShowAnEmptyWorker)
{
    // Taken for an empty list, the answer would make all runs on the worker count as lost.
    for (const char *body : {"", "\xff", "[]"}) {
        this->responseBody = body;
        std::optional<Tasks::WorkerAnswer> result;
        this->workers.renew(this->worker, {0, 7, 57, {}}, seconds(20),
                            [&result](const Tasks::WorkerAnswer &a, TimePoint) { result = a; });
        EXPECT_EQ(this->wait(result).outcome, Tasks::WorkerOutcome::Unknown) << body;
    }
}

TEST_F(AdapterTest, PaceIsSentInPercent)
{
    std::optional<Tasks::WorkerAnswer> result;
    this->workers.setPace(this->worker, {{"5c0e7a21d94b36f8", {0, 0, 3}, 1}, 30, 7}, seconds(20),
                          [&result](const Tasks::WorkerAnswer &a, TimePoint) { result = a; });
    EXPECT_EQ(this->wait(result).outcome, Tasks::WorkerOutcome::Done);
    EXPECT_EQ(this->lastRequest.target(), "/pace");
    EXPECT_EQ(this->requestBody().at("percent"), 30);
}

TEST_F(AdapterTest, KeysArePercentEncodedAndValuesDecoded)
{
    this->responseBody = R"({"key":"a b","value":"aGk=","revision":5,"lease":0,"storeRevision":9})";
    const Tasks::StoreAnswer answer = this->readAndWait("a b&c");
    EXPECT_EQ(this->lastRequest.target(), "/kv-key?key=a%20b%26c");
    ASSERT_EQ(answer.items.size(), 1U);
    EXPECT_EQ(answer.items[0].value, "hi");
    EXPECT_EQ(answer.items[0].revision, 5);
    EXPECT_EQ(answer.revision, 9);
}

TEST_F(AdapterTest, MalformedAnswersAreUnknownOrFailed)
{
    this->responseBody = "\xff";
    EXPECT_EQ(this->readAndWait("k").outcome, Tasks::StoreOutcome::Unknown);
    this->responseBody = R"({"key":7})";
    EXPECT_EQ(this->readAndWait("k").outcome, Tasks::StoreOutcome::Unknown);
    EXPECT_EQ(this->requestPermits().outcome, Tasks::PlacementOutcome::Failed);
}

TEST_F(AdapterTest, PermitsAreDecodedFromTheirRows)
{
    this->responseBody = R"({"good":[["i-8","t-5"]]})";
    const Tasks::PlacementAnswer answer = this->requestPermits();
    EXPECT_EQ(this->lastRequest.target(), "/advise");
    EXPECT_EQ(this->requestBody(),
              (json{{"step", "5c0e7a21d94b36f8.2.1"}, {"workers", {"i-7", "i-8"}}}));
    ASSERT_EQ(answer.outcome, Tasks::PlacementOutcome::Answered);
    ASSERT_EQ(answer.permits.size(), 1U);
    EXPECT_EQ(answer.permits[0].worker, "i-8");
    EXPECT_EQ(answer.permits[0].permit, "t-5");
    this->responseStatus = 429;
    EXPECT_EQ(this->requestPermits().outcome, Tasks::PlacementOutcome::Busy);
}

class OddAnswer : public AdapterTest
{
protected:
    Tasks::WorkerAnswer renewAndWait()
    {
        std::optional<Tasks::WorkerAnswer> answer;
        this->workers.renew(this->worker, {0, 7, 57, {}}, seconds(20),
                            [&answer](const Tasks::WorkerAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    }

    Tasks::StoreAnswer listAndWait()
    {
        std::optional<Tasks::StoreAnswer> answer;
        this->store.list("servers/", "", seconds(20),
                         [&answer](const Tasks::StoreAnswer &a, TimePoint) { answer = a; });
        return this->wait(answer);
    }

    static std::string nested(std::size_t levels)
    {
        return std::string(levels, '[') + std::string(levels, ']');
    }
};

TEST_F(OddAnswer, DeepNestingInAnAnswerDoesNotEndTheProcess)
{
    for (const std::size_t levels :
         {std::size_t{1000}, std::size_t{100'000}, std::size_t{500'000}}) {
        this->responseBody = R"({"clockMs":1,"running":)" + nested(levels) + "}";
        EXPECT_EQ(this->renewAndWait().outcome, Tasks::WorkerOutcome::Unknown) << levels;
        this->responseBody = nested(levels);
        EXPECT_EQ(this->renewAndWait().outcome, Tasks::WorkerOutcome::Unknown) << levels;
        EXPECT_EQ(this->readAndWait("k").outcome, Tasks::StoreOutcome::Unknown) << levels;
        this->responseBody = R"({"good":)" + nested(levels) + "}";
        EXPECT_EQ(this->requestPermits().outcome, Tasks::PlacementOutcome::Failed) << levels;
    }
}

TEST_F(OddAnswer, ListsThatCanNotBeReadDoNotShowThatNothingRuns)
{
    for (const char *body : {"\xff", "[]", "7", R"({"running":[)", R"({"running":7})",
                             R"({"clockMs":1e400,"running":[]})", R"({"clockMs":1e30})",
                             R"({"clockMs":9223372036854775808})", R"({"clockMs":-1})",
                             R"({"born":18446744073709551615})", R"({"born":"x"})"}) {
        this->responseBody = body;
        EXPECT_EQ(this->renewAndWait().outcome, Tasks::WorkerOutcome::Unknown) << body;
    }
}

TEST_F(OddAnswer, RowsWithNumbersOutsideTheirRangeNameNoRun)
{
    this->responseBody = R"({"clockMs":1,"running":[["5c0e7a21d94b36f8.0.1.17",4294967297,"cp",41],
        ["5c0e7a21d94b36f8.0.1.18",18446744073709551615,"",7],["5c0e7a21d94b36f8.0.1.18",0,"",7],
        ["5c0e7a21d94b36f8.0.1.19",1,"",1e30,-1e300],["5c0e7a21d94b36f8.0.1.99999999999",1,"",7],
        ["5c0e7a21d94b36f8.0.1.-1",1,"",7]],
        "ended":[[18446744073709551615,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [0,"5c0e7a21d94b36f8.0.1.9",1,"done",""],
        [58,"5c0e7a21d94b36f8.0.1.9",4294967297,"done",""]]})";
    const Tasks::WorkerAnswer answer = this->renewAndWait();
    EXPECT_EQ(answer.outcome, Tasks::WorkerOutcome::Done);
    ASSERT_EQ(answer.running.size(), 1U);
    EXPECT_EQ(answer.running[0].run.task.index, 19);
    EXPECT_EQ(answer.running[0].percent, 100);
    EXPECT_EQ(answer.ended.size(), 0U);
}

TEST_F(OddAnswer, OneOddItemOfAPageLeavesTheOthers)
{
    const char *others = R"({"key":"servers/a","value":"aGk=","revision":5},)"
                         R"({"key":"servers/z","value":"aGk=","revision":6}],"storeRevision":9})";
    for (const char *odd :
         {R"({"key":"servers/b","value":"no base64!","revision":7},)",
          R"({"key":"servers/b","value":7,"revision":7},)", R"({"key":"servers/b","revision":7},)",
          "{\"key\":\"servers/\xff\xc3\",\"value\":\"aGk=\",\"revision\":7},",
          R"({"key":"servers/","value":"","revision":7},)"}) {
        this->responseBody = std::string(R"({"items":[)") + odd + others;
        const Tasks::StoreAnswer answer = this->listAndWait();
        EXPECT_EQ(answer.outcome, Tasks::StoreOutcome::Done) << odd;
        ASSERT_EQ(answer.items.size(), 3U) << odd;
        EXPECT_EQ(answer.items[1].key, "servers/a");
        EXPECT_EQ(answer.items[2].key, "servers/z");
        EXPECT_EQ(answer.revision, 9);
    }
}

TEST_F(OddAnswer, RevisionsOutsideTheirRangeMakeTheStoresAnswerUnknown)
{
    for (const char *body : {R"({"items":[],"storeRevision":9223372036854775808})",
                             R"({"items":[{"key":"k","revision":18446744073709551615}]})",
                             R"({"items":[],"storeRevision":1e30})", R"({"items":7})",
                             R"({"items":[],"storeRevision":1e400})"}) {
        this->responseBody = body;
        EXPECT_EQ(this->listAndWait().outcome, Tasks::StoreOutcome::Unknown) << body;
    }
}

} // namespace

} // namespace Hibiscus::Platform
