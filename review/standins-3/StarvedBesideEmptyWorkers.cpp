#include "Scenes.h"

namespace Scene {

using nlohmann::json;

/// A service whose workers have no accelerators. Small tasks that last run on most of its workers;
/// one of the empty workers is lost for good. Then a job comes whose task needs a whole worker.
Verdict starvedBesideEmptyWorkers()
{
    constexpr int workerCount = 36;
    constexpr int lastingTasks = 33;
    constexpr std::int64_t finishMs = 14'000;
    constexpr std::int64_t idleMs = 3000; ///< For this long nothing of the job may be missing.
    const std::string lasting = "/queue-a/00000000000000a1";
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    const Capacity capacity{16000, 32768, 0};
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (int i = 0; i < workerCount; i++)
        site.addWorker("i-" + std::to_string(1000 + i), "r1-" + std::to_string(i / 6), capacity);
    site.startNodes(3);
    const json small = {{{"count", lastingTasks},
                         {"cpu", 1000},
                         {"memMb", 512},
                         {"estimateMs", 1000},
                         {"perpetual", true},
                         {"maxPerServer", 1}}};
    if (site.client(0, "POST", lasting, Deployment::key, jobOf(-1, small)).status != 200)
        return NotRun;
    const std::int64_t until = nowMs() + 10'000;
    const auto emptyWorkers = [&site] {
        std::vector<std::string> empty;
        for (const auto &[id, worker] : site.allWorkers()) {
            if (worker->runningCount() == 0)
                empty.push_back(id);
        }
        return empty;
    };
    while (emptyWorkers().size() > workerCount - lastingTasks) {
        if (nowMs() > until) {
            note("the small tasks are not all started");
            return NotRun;
        }
        sleepMs(100);
    }
    if (hasTrouble())
        site.allWorkers().at(emptyWorkers().front())->leaveForGood();
    // Long enough for the entry to go, and for a calm stretch after that.
    sleepMs(8000);

    const json whole = {{{"count", 1}, {"cpu", 16000}, {"memMb", 4096}, {"estimateMs", 1000}}};
    if (site.client(1, "POST", path, Deployment::key, jobOf(1000, whole)).status != 200)
        return NotRun;
    const std::int64_t acceptedAt = nowMs();
    // No more traffic comes from here on.
    const bool completed
        = site.awaitState(2, path, Deployment::key, "completed", finishMs + idleMs + 30'000);
    note("workers without a task at the end, the lost one included: "
         + std::to_string(emptyWorkers().size()) + " of " + std::to_string(workerCount));
    const std::int64_t tookMs = nowMs() - acceptedAt;
    return conclude(
        !completed,
        completed ? "the job was completed after " + std::to_string(tookMs) + " ms"
                  : "the job had nothing running for " + std::to_string(tookMs)
                + " ms after its acceptance, beside two empty workers that each fit it");
}

} // namespace Scene
