#include "Scenes.h"

#include <atomic>
#include <thread>

namespace Scene {

using nlohmann::json;

/// A worker leaves a start order unanswered. It is cut off twice, crashes behind the cut and starts
/// again under its id. The order is carried out late, by the new process.
Verdict lateStartInNextProcess()
{
    constexpr std::int64_t lateMs = 7500;
    constexpr std::int64_t cutAfterMs = 300;
    constexpr std::int64_t downMs = 1000;
    constexpr std::int64_t cutMs = 5500; ///< Length of each of the two cuts.
    constexpr std::int64_t secondCutAfterMs = 4000;
    constexpr std::int64_t workMs = 9000;
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (const char *id : {"i-0001", "i-0002", "i-0003", "i-0004", "i-0005", "i-0006"})
        site.addWorker(id, std::string(id) < "i-0004" ? "r1-1" : "r1-2", {});
    std::atomic<Worker *> late{nullptr};
    for (auto &[id, worker] : site.allWorkers()) {
        worker->fateOf = [&late, worker = worker, job](const std::string &task, int run) {
            // Copies of the order that are sent later are lost too.
            const bool concerned = hasTrouble() && run == 1 && task.starts_with(job);
            if (!concerned)
                return OrderFate{};
            late = worker;
            return OrderFate{lateMs};
        };
    }
    site.startNodes(3);
    // The clocks of the workers run for a while.
    sleepMs(8000);
    const json steps = {{{"count", 1}, {"cpu", 2000}, {"memMb", 1024}, {"estimateMs", workMs}}};
    if (site.client(0, "POST", path, Deployment::key, jobOf(workMs, steps)).status != 200)
        return NotRun;
    if (hasTrouble()) {
        const std::int64_t until = nowMs() + 5000;
        while (!late && nowMs() < until)
            sleepMs(5);
        if (!late) {
            note("no start order came");
            return NotRun;
        }
        Worker &worker = *late;
        sleepMs(cutAfterMs);
        worker.cutOff();
        worker.crash();
        sleepMs(downMs);
        worker.startAgain();
        sleepMs(secondCutAfterMs - downMs);
        note("a second cut of the worker begins before the first one heals");
        sleepMs(cutMs);
        worker.reconnect();
    }
    sleepMs(16'000);
    site.stateOf(1, path, Deployment::key);
    const std::vector<SeenRun> runs = site.runsOf(job);
    const std::int64_t together = timeTogether(runs);
    return conclude(together > 0,
                    "the task was started " + std::to_string(runs.size())
                        + " times, and two runs worked at the same time for "
                        + std::to_string(together) + " ms");
}

} // namespace Scene
