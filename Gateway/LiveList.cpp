#include <Gateway/HttpConnection.h>
#include <Gateway/JsonFields.h>
#include <Gateway/LiveList.h>

#include <array>

namespace Hibiscus {

namespace {

constexpr const char *livePath = "/v1/live";
constexpr int httpOk = 200;

using Worker = WorkerDescription;
using Instance = InstanceDescription;

constexpr std::array<JsonField<Worker>, 10> workerFields{{
    {"name", &Worker::name, true},
    {"dataCenter", &Worker::dataCenter, true},
    {"rack", &Worker::rack},
    {"slots", &Worker::slots},
    {"accelerators", &Worker::accelerators},
    {"memoryMiB", &Worker::memoryMiB},
    {"connections", &Worker::connections},
    {"host", &Worker::host, true},
    {"port", &Worker::port, true},
    {"leaving", &Worker::leaving},
}};

constexpr std::array<JsonField<Instance>, 5> instanceFields{{
    {"name", &Instance::name, true},
    {"dataCenter", &Instance::dataCenter, true},
    {"host", &Instance::host, true},
    {"port", &Instance::port, true},
    {"leaving", &Instance::leaving},
}};

Worker readWorker(const nlohmann::json &entry, const std::string &place, Findings &findings)
{
    Worker worker;
    readFields<Worker>(entry, workerFields, worker, place, findings);
    if (worker.slots == 0 || worker.slots > maxSlots)
        findings.add(place + "/slots", "must be from 1 to " + std::to_string(maxSlots));
    if (worker.accelerators != 0 && worker.accelerators != worker.slots)
        findings.add(place + "/accelerators", "must be 0 or as many as slots");
    return worker;
}

Instance readInstance(const nlohmann::json &entry, const std::string &place, Findings &findings)
{
    Instance instance;
    readFields<Instance>(entry, instanceFields, instance, place, findings);
    return instance;
}

} // namespace

tl::expected<LiveList, Findings> parseLiveList(std::string_view text)
{
    Findings findings;
    LiveList list;
    const nlohmann::json document = parseJson(text, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    if (!document.is_object())
        findings.add("", "must be an object");
    readArray(document, "instances", list.instances, "", findings,
              [&](const nlohmann::json &entry, const std::string &place) {
                  return readInstance(entry, place, findings);
              });
    readArray(document, "workers", list.workers, "", findings,
              [&](const nlohmann::json &entry, const std::string &place) {
                  return readWorker(entry, place, findings);
              });
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return list;
}

std::string toJson(const LiveList &list)
{
    nlohmann::json document{{"instances", nlohmann::json::array()},
                            {"workers", nlohmann::json::array()}};
    for (const Instance &instance : list.instances)
        document["instances"].push_back(writeFields<Instance>(instanceFields, instance));
    for (const Worker &worker : list.workers)
        document["workers"].push_back(writeFields<Worker>(workerFields, worker));
    return jsonText(document);
}

LiveListClient::LiveListClient(const Settings &settings)
    : settings(settings)
{}

tl::expected<LiveList, Findings> LiveListClient::fetch()
{
    HttpConnection http({this->settings.host, this->settings.port, this->settings.timeout});
    const HttpAnswer answer = http.get(livePath);
    if (answer.outcome == HttpOutcome::Answered && answer.status == httpOk)
        return parseLiveList(answer.body);
    Findings findings;
    const bool answered = answer.outcome == HttpOutcome::Answered;
    findings.add(this->settings.host + ":" + std::to_string(this->settings.port) + livePath,
                 answered ? "answered with HTTP status " + std::to_string(answer.status)
                          : answer.error);
    return tl::unexpected(findings);
}

} // namespace Hibiscus
