#include "Scenes.h"

#include <csignal>

namespace Scene {

using nlohmann::json;

/// A worker with a task that lasts is lost for good, and half a second later the leader's machine
/// loses power for some seconds.
Verdict lastingTaskStaysAway()
{
    constexpr std::int64_t darkMs = 3000;
    constexpr std::int64_t killAfterMs = 500;
    constexpr std::int64_t restMs = 6000; ///< From the last run on, by LOST.
    constexpr std::int64_t calmMs = 4000; ///< Before the time that counts, by LOST.
    constexpr std::int64_t idleMs = 3000; ///< For this long the task may be away in calm.
    constexpr int workerCount = 8;
    constexpr int taskCount = 6;
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (int i = 0; i < workerCount; i++)
        site.addWorker("i-" + std::to_string(1000 + i), "r1-" + std::to_string(i / 4), {});
    site.startNodes(3);
    const json steps = {{{"count", taskCount},
                         {"cpu", 2000},
                         {"memMb", 1024},
                         {"gpu", 4},
                         {"estimateMs", 1000},
                         {"perpetual", true}}};
    if (site.client(0, "POST", path, Deployment::key, jobOf(-1, steps)).status != 200)
        return NotRun;
    sleepMs(10'000);
    std::string lost;
    for (const SeenRun &run : site.runsOf(job))
        lost = run.endedAt == 0 ? run.worker : lost;
    if (site.runsOf(job).size() != taskCount) {
        note("the tasks are not all started");
        return NotRun;
    }
    std::int64_t calmFrom = nowMs();
    if (hasTrouble()) {
        const int leading = site.leader();
        site.allWorkers().at(lost)->leaveForGood();
        sleepMs(killAfterMs);
        // As seen from outside, a machine without power is silent, and its process starts anew.
        site.signalNode(leading, SIGSTOP);
        sleepMs(darkMs);
        site.signalNode(leading, SIGKILL);
        site.restartNode(leading);
        calmFrom = nowMs();
    }
    sleepMs(20'000);
    site.stateOf(1, path, Deployment::key);
    std::int64_t longest = 0;
    std::int64_t inCalm = 0;
    const std::vector<SeenRun> runs = site.runsOf(job);
    for (const SeenRun &ended : runs) {
        if (ended.endedAt == 0)
            continue;
        std::int64_t again = nowMs();
        for (const SeenRun &next : runs) {
            if (next.task == ended.task && next.run > ended.run)
                again = std::min(again, next.beganAt);
        }
        longest = std::max(longest, again - ended.endedAt);
        inCalm = std::max(inCalm, again - std::max(ended.endedAt + restMs, calmFrom + calmMs));
    }
    return conclude(inCalm > idleMs,
                    "a task that lasts was away for " + std::to_string(longest) + " ms, of these "
                        + std::to_string(inCalm)
                        + " ms in calm and later than 6 s after its last run, beside workers that "
                          "are empty");
}

} // namespace Scene
