#include <Entry/StatusPage.h>

#include <nlohmann/json.hpp>

namespace Hibiscus {

using Json = nlohmann::json;

namespace {

Json cellsToJson(const CellCounts &cells)
{
    return {{"slot", cells[0]},
            {"pair", cells[1]},
            {"quad", cells[2]},
            {"worker", cells[3]},
            {"rack", cells[4]}};
}

Json classesToJson(const std::array<std::uint32_t, urgencyClassCount> &counts)
{
    Json json = Json::object();
    for (std::size_t i = 0; i < urgencyClassCount; ++i)
        json[toString(static_cast<UrgencyClass>(i))] = counts[i];
    return json;
}

Json toJson(const EntryMachine::DispatcherStatus &dispatcher)
{
    Json shortfalls = Json::array();
    for (const auto &[customer, missing] : dispatcher.shortfalls)
        shortfalls.push_back({{"customer", customer}, {"missing", cellsToJson(missing)}});
    const SchedulerGauges &gauges = dispatcher.gauges;
    return {{"dataCenter", dispatcher.dataCenter},
            {"slots", gauges.slots},
            {"freeSlots", gauges.freeSlots},
            {"lentSlots", gauges.lentSlots},
            {"largestFreeCell", gauges.largestFreeCell},
            {"ejectedWorkers", gauges.ejectedWorkers},
            {"queued", classesToJson(gauges.queued)},
            {"running", classesToJson(gauges.running)},
            {"ownedWorkers", dispatcher.ownedWorkers},
            {"knownWorkers", dispatcher.knownWorkers},
            {"jobs", dispatcher.jobs},
            {"shortfalls", shortfalls}};
}

void addGauge(std::string &text, const std::string &name, const std::string &labels,
              std::uint64_t value)
{
    text += "hibiscus_" + name;
    if (!labels.empty())
        text += '{' + labels + '}';
    text += ' ' + std::to_string(value) + '\n';
}

void addDispatcher(std::string &text, const EntryMachine::DispatcherStatus &dispatcher)
{
    const std::string labels = "data_center=\"" + dispatcher.dataCenter + '"';
    const SchedulerGauges &gauges = dispatcher.gauges;
    addGauge(text, "slots", labels, gauges.slots);
    addGauge(text, "free_slots", labels, gauges.freeSlots);
    addGauge(text, "lent_slots", labels, gauges.lentSlots);
    addGauge(text, "largest_free_cell_slots", labels, gauges.largestFreeCell);
    addGauge(text, "ejected_workers", labels, gauges.ejectedWorkers);
    addGauge(text, "owned_workers", labels, dispatcher.ownedWorkers);
    for (std::size_t i = 0; i < urgencyClassCount; ++i) {
        const std::string both
            = labels + ",class=\"" + toString(static_cast<UrgencyClass>(i)) + '"';
        addGauge(text, "queued_jobs", both, gauges.queued[i]);
        addGauge(text, "running_jobs", both, gauges.running[i]);
    }
}

} // namespace

std::string statusToJson(const EntryMachine::Status &status)
{
    Json dispatchers = Json::array();
    for (const EntryMachine::DispatcherStatus &dispatcher : status.dispatchers)
        dispatchers.push_back(toJson(dispatcher));
    const JobKeeper::Gauges &keeper = status.keeper;
    const Json json{{"instance", status.instance},
                    {"dataCenter", status.dataCenter},
                    {"ready", status.ready},
                    {"draining", status.draining},
                    {"configRevision", status.configRevision},
                    {"preset", status.preset},
                    {"dispatchers", dispatchers},
                    {"shards", status.shards},
                    {"keeper",
                     {{"storeWrites", keeper.storeWrites},
                      {"storeReads", keeper.storeReads},
                      {"unfinishedJobs", keeper.unfinishedJobs},
                      {"finishedJobs", keeper.finishedJobs},
                      {"waitingAppends", keeper.waitingAppends}}},
                    {"heldCalls", status.heldCalls},
                    {"livePeers", status.livePeers}};
    return json.dump(2);
}

std::string metricsToText(const EntryMachine::Status &status, const CallMetrics &calls)
{
    std::string text = calls.toText();
    addGauge(text, "ready", {}, status.ready ? 1 : 0);
    addGauge(text, "configuration_revision", {}, status.configRevision);
    addGauge(text, "held_calls", {}, status.heldCalls);
    addGauge(text, "store_writes_total", {}, status.keeper.storeWrites);
    addGauge(text, "store_reads_total", {}, status.keeper.storeReads);
    addGauge(text, "unfinished_durable_jobs", {}, status.keeper.unfinishedJobs);
    addGauge(text, "live_peers", {}, status.livePeers.size());
    for (const EntryMachine::DispatcherStatus &dispatcher : status.dispatchers)
        addDispatcher(text, dispatcher);
    return text;
}

} // namespace Hibiscus
