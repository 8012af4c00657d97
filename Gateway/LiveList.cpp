#include <Core/JsonText.h>
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

void checkPort(const nlohmann::json &entry, const std::string &place, Findings &findings)
{
    const auto port = entry.find("port");
    if (port != entry.end() && port->is_number_unsigned() && port->get<std::uint64_t>() == 0)
        findings.add(place + "/port", "must not be 0");
}

Worker readWorker(const nlohmann::json &entry, const std::string &place, Findings &findings)
{
    Worker worker;
    readFields<Worker>(entry, workerFields, worker, place, findings);
    checkPort(entry, place, findings);
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
    checkPort(entry, place, findings);
    return instance;
}

/// Reads the array at `document[key]`. An entry that can't be used is left out, and its findings go
/// into `leftOut`. Returns the number of entries in the text.
template <class Record, class ReadEntry>
std::size_t readUsableEntries(const nlohmann::json &document, const char *key,
                              std::vector<Record> &target, Findings &findings, Findings &leftOut,
                              ReadEntry readEntry)
{
    const auto found = document.find(key);
    if (found == document.end())
        return 0;
    const std::string arrayPlace = std::string("/") + key;
    if (!found->is_array()) {
        findings.add(arrayPlace, "must be an array");
        return 0;
    }
    for (std::size_t i = 0; i < found->size(); ++i) {
        const nlohmann::json &entry = (*found)[i];
        const std::string place = arrayPlace + "/" + std::to_string(i);
        Findings ofEntry;
        if (!entry.is_object())
            ofEntry.add(place, "must be an object of valid JSON");
        else if (isNestedTooDeeply(entry))
            ofEntry.add(place, "has over " + std::to_string(maxJsonLevels) + " levels");
        else if (Record record = readEntry(entry, place, ofEntry); ofEntry.isEmpty())
            target.push_back(std::move(record));
        leftOut.append(ofEntry);
    }
    return found->size();
}

} // namespace

tl::expected<LiveList, Findings> parseLiveList(std::string_view text)
{
    Findings findings;
    LiveList list;
    nlohmann::json document = parseJson(text, findings);
    if (!findings.isEmpty()) {
        findings = {};
        document = parseJson(replaceUnreadableItems(text), findings);
    }
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    if (!document.is_object()) {
        findings.add("", "must be an object");
        return tl::unexpected(findings);
    }
    const std::size_t entries = readUsableEntries(document, "instances", list.instances, findings,
                                                  list.leftOut, readInstance)
        + readUsableEntries(document, "workers", list.workers, findings, list.leftOut, readWorker);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    // Entries of which none can be used are in another format. Taken as an empty list, they would
    // remove the whole fleet.
    if (entries > 0 && list.instances.empty() && list.workers.empty())
        return tl::unexpected(list.leftOut);
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
