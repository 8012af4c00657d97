#include <Core/Base64.h>
#include <Gateway/StoreGateway.h>

#include <gtest/gtest.h>
#include <string>

namespace Hibiscus {
namespace {

const StoreRequest getRequest{.verb = StoreVerb::Get, .key = "a"};
const StoreRequest compareAndSwapRequest{
    .verb = StoreVerb::CompareAndSwap, .key = "a", .value = "new", .revision = 5, .lease = 9};

// Answers in the format of etcd's JSON gateway, as shown in its documentation.
const std::string rangeText = R"({"header":{"cluster_id":"1","revision":"7","raft_term":"2"},)"
                              R"("kvs":[{"key":"YQ==","create_revision":"2","mod_revision":"5",)"
                              R"("version":"4","value":"b2xk"}],"count":"1"})";
const std::string swappedText = R"({"header":{"revision":"8"},"succeeded":true,)"
                                R"("responses":[{"response_put":{"header":{"revision":"8"}}}]})";

TEST(StoreGateway, Base64RoundTripsAllBytesAndRejectsMalformedText)
{
    std::string bytes;
    for (int i = 0; i < 256; ++i) {
        EXPECT_EQ(fromBase64(toBase64(bytes)), bytes);
        bytes += static_cast<char>(i);
    }
    for (const char *const bad : {"A", "AA", "AAA", "A===", " AAA", "AA=A", "AA\nA", "====", "é="})
        EXPECT_FALSE(fromBase64(bad)) << bad;
}

TEST(StoreGateway, PrefixEndIsTheFirstKeyBeyondThePrefix)
{
    EXPECT_EQ(prefixEnd("jobs/"), "jobs0");
    EXPECT_EQ(prefixEnd("a\xFF\xFF"), "b");
    EXPECT_EQ(prefixEnd(""), std::string(1, '\0'));
    EXPECT_EQ(prefixEnd("\xFF"), std::string(1, '\0'));
}

TEST(StoreGateway, CompareAndSwapComparesTheRevisionOrRequiresAnAbsentKey)
{
    const GatewayRequest present = encodeStoreRequest(compareAndSwapRequest);
    EXPECT_EQ(present.path, "/v3/kv/txn");
    EXPECT_EQ(present.body,
              R"({"compare":[{"key":"YQ==","mod_revision":"5","result":"EQUAL",)"
              R"("target":"MOD"}],"failure":[{"request_range":{"key":"YQ=="}}],)"
              R"("success":[{"request_put":{"key":"YQ==","lease":"9",)"
              R"("value":"bmV3"}}]})");
    StoreRequest absent = compareAndSwapRequest;
    absent.revision = 0;
    const std::string body = encodeStoreRequest(absent).body;
    EXPECT_NE(body.find(R"("create_revision":"0")"), std::string::npos);
    EXPECT_EQ(body.find("mod_revision"), std::string::npos);
}

TEST(StoreGateway, LeaseTermIsRoundedUpToWholeSeconds)
{
    const StoreRequest grant{.verb = StoreVerb::GrantLease, .term = milliseconds(2001)};
    EXPECT_EQ(encodeStoreRequest(grant).body, R"({"TTL":"3"})");
}

TEST(StoreGateway, DecodesAnswersOfTheGateway)
{
    const StoreEntry old{"a", "old", 5};
    EXPECT_EQ(decodeStoreReply(getRequest, 200, rangeText),
              (StoreReply{StoreStatus::Ok, {old}, 7, 0}));
    EXPECT_EQ(decodeStoreReply(getRequest, 200, R"({"header":{"revision":"7"}})"),
              (StoreReply{StoreStatus::Ok, {}, 7, 0}));
    EXPECT_EQ(decodeStoreReply(compareAndSwapRequest, 200, swappedText),
              (StoreReply{StoreStatus::Ok, {{"a", "new", 8}}, 8, 0}));
    // proto3 JSON omits "succeeded" if it is false.
    const std::string conflict
        = R"({"header":{"revision":"7"},"responses":[{"response_range":)" + rangeText + "}]}";
    EXPECT_EQ(decodeStoreReply(compareAndSwapRequest, 200, conflict),
              (StoreReply{StoreStatus::Conflict, {old}, 7, 0}));
    const StoreRequest grant{.verb = StoreVerb::GrantLease, .term = seconds(5)};
    EXPECT_EQ(
        decodeStoreReply(grant, 200,
                         R"({"header":{"revision":"7"},"ID":"7587821338341134338","TTL":"5"})"),
        (StoreReply{StoreStatus::Ok, {}, 7, 7587821338341134338}));
}

TEST(StoreGateway, EndedLeaseIsAConflict)
{
    const StoreRequest keep{.verb = StoreVerb::KeepLease, .lease = 9};
    const std::string ended = R"({"result":{"header":{"revision":"7"},"ID":"9"}})";
    const std::string kept = R"({"result":{"header":{"revision":"7"},"ID":"9","TTL":"3"}})";
    EXPECT_EQ(decodeStoreReply(keep, 200, ended).status, StoreStatus::Conflict);
    EXPECT_EQ(decodeStoreReply(keep, 200, kept).status, StoreStatus::Ok);
    const std::string refused = R"({"code":5,"message":"etcdserver: requested lease not found"})";
    EXPECT_EQ(decodeStoreReply(compareAndSwapRequest, 404, refused).status, StoreStatus::Conflict);
    EXPECT_EQ(decodeStoreReply(compareAndSwapRequest, 404, "{}").status, StoreStatus::NoAnswer);
}

TEST(StoreGateway, EveryTruncatedAnswerGivesNoAnswer)
{
    for (const auto &[request, text] :
         {std::pair(getRequest, rangeText), std::pair(compareAndSwapRequest, swappedText)}) {
        ASSERT_EQ(decodeStoreReply(request, 200, text).status, StoreStatus::Ok);
        EXPECT_EQ(decodeStoreReply(request, 503, text).status, StoreStatus::NoAnswer);
        for (std::size_t length = 0; length < text.size(); ++length)
            EXPECT_EQ(decodeStoreReply(request, 200, text.substr(0, length)), StoreReply{});
    }
}

TEST(StoreGateway, MalformedAnswersGiveNoAnswer)
{
    for (const char *const text :
         {"null", "[]", "{}", R"({"header":5})", R"({"header":{"revision":"x"}})",
          R"({"header":{"revision":"7"},"kvs":5})", R"({"header":{"revision":"7"},"kvs":[5]})",
          R"({"header":{"revision":"7"},"kvs":[{"key":"Y"}]})",
          R"({"header":{"revision":"7"},"kvs":[{"key":5}]})",
          R"({"header":{"revision":"7"},"kvs":[{"key":"YQ==","mod_revision":"5 "}]})",
          R"({"header":{"revision":"99999999999999999999"}})"})
        EXPECT_EQ(decodeStoreReply(getRequest, 200, text), StoreReply{}) << text;
    for (const char *const text :
         {R"({"header":{"revision":"8"},"succeeded":true})",
          R"({"header":{"revision":"8"},"succeeded":"yes","responses":[{}]})",
          R"({"header":{"revision":"8"},"succeeded":true,"responses":[]})",
          R"({"header":{"revision":"8"},"succeeded":true,"responses":[5]})",
          R"({"header":{"revision":"8"},"succeeded":true,"responses":[{"response_range":{}}]})",
          R"({"header":{"revision":"8"},"responses":[{"response_put":{}}]})"})
        EXPECT_EQ(decodeStoreReply(compareAndSwapRequest, 200, text), StoreReply{}) << text;
}

TEST(StoreGateway, WatchReportsWritesRemovalsAndCancellation)
{
    const auto message
        = decodeWatchMessage(R"({"result":{"header":{"revision":"9"},"events":[)"
                             R"({"kv":{"key":"YQ==","mod_revision":"8","value":"bmV3"}},)"
                             R"({"type":"DELETE","kv":{"key":"Yg==","mod_revision":"9"}}]}})");
    ASSERT_TRUE(message);
    EXPECT_EQ(message->batch.written, (std::vector<StoreEntry>{{"a", "new", 8}}));
    EXPECT_EQ(message->batch.removed, (std::vector<std::string>{"b"}));
    EXPECT_FALSE(message->canceled);
    EXPECT_TRUE(decodeWatchMessage(R"({"result":{"canceled":true}})")->canceled);
    for (const char *const text : {"", "{}", "[]", R"({"error":{"code":14}})", R"({"result":5})",
                                   R"({"result":{"events":5}})", R"({"result":{"events":[5]}})",
                                   R"({"result":{"events":[{"kv":5}]}})"})
        EXPECT_FALSE(decodeWatchMessage(text)) << text;
}

} // namespace
} // namespace Hibiscus
