#include <Endpoint/WorkerClient.h>

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace Hibiscus {
namespace {

std::string arbitraryText()
{
    const std::string ascii = *rc::gen::string<std::string>();
    std::string text;
    for (const char c : ascii)
        text += static_cast<char>(c & 0x7F);
    return *rc::gen::element<std::string>("", "é\xF0\x9F\x8C\xBA\"\\\n") + text;
}

Duration arbitraryDuration()
{
    return Duration(*rc::gen::inRange<std::int64_t>(0, std::numeric_limits<std::int64_t>::max()));
}

WorkerRequest arbitraryRequest()
{
    WorkerRequest request;
    request.verb = static_cast<WorkerVerb>(*rc::gen::inRange(0, 10));
    for (const auto member : {&WorkerRequest::owner, &WorkerRequest::task, &WorkerRequest::kind,
                              &WorkerRequest::payload, &WorkerRequest::job})
        request.*member = arbitraryText();
    for (const auto member :
         {&WorkerRequest::declaredRunTime, &WorkerRequest::ownerTerm, &WorkerRequest::taskTerm,
          &WorkerRequest::reserveTerm, &WorkerRequest::wait})
        request.*member = arbitraryDuration();
    request.epoch = *rc::gen::arbitrary<std::uint64_t>();
    request.sequence = *rc::gen::arbitrary<std::uint64_t>();
    request.slots = *rc::gen::arbitrary<SlotMask>();
    request.memoryMiB = *rc::gen::arbitrary<std::uint32_t>();
    return request;
}

WorkerReply arbitraryReply()
{
    WorkerReply reply;
    reply.status = static_cast<WorkerStatus>(*rc::gen::inRange(0, 6));
    reply.incarnation = arbitraryText();
    reply.epoch = *rc::gen::arbitrary<std::uint64_t>();
    reply.ownerLeaseLeft = arbitraryDuration();
    reply.load = *rc::gen::inRange(0, 1001) / 1000.0;
    for (int i = *rc::gen::inRange(0, 4); i > 0; --i)
        reply.reports.push_back({*rc::gen::arbitrary<std::uint64_t>(), arbitraryText(),
                                 arbitraryText(), static_cast<TaskState>(*rc::gen::inRange(0, 7)),
                                 *rc::gen::arbitrary<SlotMask>(), arbitraryText()});
    return reply;
}

// Checks a property with a fixed seed, so that every run checks the same cases.
template <class Property>
bool holds(const Property &property)
{
    setenv("RC_PARAMS", "seed=20251", 0);
    return rc::check(property);
}

TEST(WorkerJson, EveryRequestSurvivesAJsonRoundTrip)
{
    EXPECT_TRUE(holds([] {
        const WorkerRequest request = arbitraryRequest();
        RC_ASSERT(parseWorkerRequest(toJson(request)).value() == request);
    }));
}

TEST(WorkerJson, EveryReplySurvivesAJsonRoundTrip)
{
    EXPECT_TRUE(holds([] {
        const WorkerReply reply = arbitraryReply();
        RC_ASSERT(parseWorkerReply(toJson(reply)).value() == reply);
    }));
}

TEST(WorkerJson, InvalidUtf8IsReplacedInsteadOfThrowing)
{
    WorkerRequest request;
    request.payload = "\xFF";
    EXPECT_EQ(parseWorkerRequest(toJson(request))->payload, "\xEF\xBF\xBD");
}

std::vector<std::string> placesOf(const Findings &findings)
{
    std::vector<std::string> places;
    for (const Finding &finding : findings.all())
        places.push_back(finding.location);
    std::sort(places.begin(), places.end());
    return places;
}

TEST(WorkerJson, AllFindingsAreReportedWithTheirPlaces)
{
    const auto request = parseWorkerRequest(
        R"({"verb": "fly", "epoch": -1, "slots": 4294967296, "waitUs": "5", "task": null})");
    ASSERT_FALSE(request);
    EXPECT_EQ(
        placesOf(request.error()),
        (std::vector<std::string>{"/epoch", "/owner", "/slots", "/task", "/verb", "/waitUs"}));
    const auto reply = parseWorkerReply(
        R"({"status": "noAnswer", "incarnation": "i", "epoch": 1,
            "reports": [{"sequence": 1, "task": "t"}, [], {"sequence": 1.5, "state": "done"}]})");
    ASSERT_FALSE(reply);
    EXPECT_EQ(placesOf(reply.error()),
              (std::vector<std::string>{"/reports/0/state", "/reports/1", "/reports/2/sequence",
                                        "/reports/2/task", "/status"}));
}

TEST(WorkerJson, EveryTruncatedTextIsRejected)
{
    WorkerReply reply;
    reply.status = WorkerStatus::Ok;
    reply.reports.push_back({1, "task", "job", TaskState::Done, 3, "result"});
    const std::string text = toJson(reply);
    ASSERT_TRUE(parseWorkerReply(text));
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_FALSE(parseWorkerReply(text.substr(0, length)));
    for (const char *const bad : {"5", "[]", "null", "\"\""})
        EXPECT_FALSE(parseWorkerRequest(bad)) << bad;
}

} // namespace
} // namespace Hibiscus
