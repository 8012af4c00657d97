#include "Scenes.h"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <thread>

namespace Scene {

using nlohmann::json;

namespace {

constexpr std::int64_t memoryMb = 260; ///< Of the settings.
constexpr std::int64_t restartMs = 500;

/// Memory that the process holds, in MiB; 0 if it is gone.
std::int64_t residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::strtoll(line.c_str() + 6, nullptr, 10) / 1024;
    }
    return 0;
}

/// As the platform does: kills a process that exceeds the machine's memory, and starts it again.
void limitMemory(Deployment &site, int node, const std::atomic<bool> &isOver,
                 std::atomic<int> &kills)
{
    while (!isOver) {
        sleepMs(20);
        const std::int64_t used = residentMb(site.processOf(node));
        if (used <= memoryMb)
            continue;
        note("node " + std::to_string(node + 1) + " holds " + std::to_string(used) + " MiB, over "
             + std::to_string(memoryMb) + ": the platform kills it");
        kills++;
        site.signalNode(node, SIGKILL);
        sleepMs(restartMs);
        site.restartNode(node);
    }
}

} // namespace

/// Clients hand in jobs that repeat a small task each minute, from tomorrow on. Then an ordinary
/// job comes.
Verdict schedulesExceedMemory()
{
    constexpr int nodes = 3;
    constexpr int jobs = 40;
    constexpr std::int64_t minuteMs = 60'000;
    constexpr std::int64_t dayMs = 1440 * minuteMs;
    constexpr std::int64_t calmMs = 30'000;
    constexpr std::int64_t finishMs = 30'000;
    const int repeats = hasTrouble() ? 100'000 : 1000;
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (const char *id : {"i-0001", "i-0002"})
        site.addWorker(id, "r1-1", {});
    site.startNodes(nodes);
    std::atomic<bool> isOver{false};
    std::atomic<int> kills{0};
    std::vector<std::thread> guards;
    guards.reserve(nodes);
    for (int node = 0; node < nodes; node++)
        guards.emplace_back(
            [&site, node, &isOver, &kills] { limitMemory(site, node, isOver, kills); });

    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const std::int64_t unixMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const json small = {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 1000}}};
    json body = json::parse(jobOf(1000, small));
    body["repeats"] = repeats;
    body["firstMs"] = unixMs + dayMs;
    body["intervalMs"] = minuteMs;
    int accepted = 0;
    for (int i = 0; i < jobs; i++) {
        constexpr std::size_t idSize = 17;
        std::string id(idSize, '\0');
        id.resize(static_cast<std::size_t>(
            std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(i + 1))));
        const Response response
            = site.client(i % nodes, "POST", "/queue-a/" + id, Deployment::key, body.dump());
        accepted += response.status == 200 ? 1 : 0;
    }
    note(std::to_string(accepted) + " of " + std::to_string(jobs) + " jobs were accepted");
    sleepMs(calmMs);
    const std::string path = "/queue-a/00000000000000b2";
    std::int64_t acceptedAt = 0;
    for (int i = 0; i < 2 * nodes && acceptedAt == 0; i++) {
        if (site.client(i % nodes, "POST", path, Deployment::key, jobOf(1000, small)).status == 200)
            acceptedAt = nowMs();
    }
    bool completed = false;
    const std::int64_t until = nowMs() + finishMs;
    for (int node = 0; acceptedAt != 0 && !completed && nowMs() < until;
         node = (node + 1) % nodes) {
        completed = site.stateOf(node, path, Deployment::key) == "completed";
        sleepMs(completed ? 0 : 500);
    }
    isOver = true;
    for (std::thread &guard : guards)
        guard.join();
    constexpr int endsThatCount = 6; ///< Three each on two machines.
    return conclude(kills >= endsThatCount || (acceptedAt != 0 && !completed),
                    "processes were killed " + std::to_string(kills)
                        + " times for their memory; an ordinary job that was "
                        + (acceptedAt != 0 ? "accepted" : "not accepted") + " was "
                        + (completed ? "" : "not ") + "completed within " + std::to_string(finishMs)
                        + " ms");
}

} // namespace Scene
