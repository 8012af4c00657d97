#include "Scenes.h"

#include <atomic>
#include <csignal>

namespace Scene {

using nlohmann::json;

/// A leader is killed while its start order for a worker is under way. The next leader asks the
/// worker, which runs nothing of the task, and starts the task elsewhere. The worker then crashes
/// behind a cut and starts again, and the former leader's order is carried out there.
Verdict lateStartOfFormerLeader()
{
    constexpr std::int64_t lateMs = 7500;
    constexpr std::int64_t killAfterMs = 200;
    constexpr std::int64_t downMs = 3000;
    constexpr std::int64_t cutAfterMs = 6000;
    constexpr std::int64_t cutMs = 4000;
    constexpr std::int64_t workMs = 12'000;
    constexpr std::int64_t urgentMs = 1500;
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    const std::string urgent = "/queue-u/00000000000000c3";
    Deployment &site
        = Deployment::make({{"r-a", "/queue-a/", 1, false}, {"r-u", "/queue-u/", 0, false}});
    for (const char *id : {"i-0001", "i-0002", "i-0003", "i-0004", "i-0005"})
        site.addWorker(id, "r1-1", {});
    std::atomic<Worker *> concerned{nullptr};
    for (auto &[id, worker] : site.allWorkers()) {
        worker->fateOf = [&concerned, worker = worker, job](const std::string &task, int run) {
            if (!hasTrouble() || run != 1 || !task.starts_with(job))
                return OrderFate{};
            concerned = worker;
            return OrderFate{lateMs};
        };
    }
    site.startNodes(3);
    // The clocks of the workers run for a while.
    sleepMs(8000);
    const int leading = site.leader();
    const int other = (leading + 1) % 3;
    const json whole
        = {{{"count", 1}, {"cpu", 2000}, {"memMb", 1024}, {"gpu", 8}, {"estimateMs", workMs}}};
    if (site.client(other, "POST", path, Deployment::key, jobOf(workMs, whole)).status != 200)
        return NotRun;
    if (hasTrouble()) {
        const std::int64_t until = nowMs() + 5000;
        while (!concerned && nowMs() < until)
            sleepMs(5);
        if (!concerned) {
            note("no start order came");
            return NotRun;
        }
        const std::int64_t orderedAt = nowMs();
        Worker &worker = *concerned;
        sleepMs(killAfterMs);
        site.signalNode(leading, SIGKILL);
        // An urgent job takes the first worker, so that the task's next run goes to another one.
        site.client(other, "POST", urgent, Deployment::key, jobOf(urgentMs, whole));
        sleepMs(downMs);
        site.restartNode(leading);
        sleepMs(orderedAt + cutAfterMs - nowMs());
        worker.cutOffFromStore();
        worker.crash();
        worker.startAgain();
        sleepMs(cutMs);
        worker.reconnect();
    }
    sleepMs(16'000);
    site.stateOf(other, path, Deployment::key);
    const std::vector<SeenRun> runs = site.runsOf(job);
    const std::int64_t together = timeTogether(runs);
    return conclude(together > 0,
                    "the task was started " + std::to_string(runs.size())
                        + " times, and two runs worked at the same time for "
                        + std::to_string(together) + " ms");
}

} // namespace Scene
