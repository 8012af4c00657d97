#include "Scenes.h"

namespace Scene {

using nlohmann::json;

/// One large job of small tasks is accepted, runs for a while, and is to be completed.
Verdict largeJobStopsHalfway()
{
    constexpr int steps = 3;
    constexpr std::int64_t taskMs = 1000;
    constexpr std::int64_t idleMs = 3000; ///< For this long nothing of the job may be missing.
    constexpr std::int64_t longestMs = 95'000;
    constexpr std::int64_t quietMs = 20'000;
    const int perStep = hasTrouble() ? 10'000 : 3000;
    const std::string job = "00000000000000b2";
    const std::string path = "/queue-a/" + job;
    Deployment &site = Deployment::make({{"r-a", "/queue-a/", 1, false}});
    for (int i = 0; i < 10; i++)
        site.addWorker("i-" + std::to_string(1000 + i), "r1-" + std::to_string(i / 5), {});
    site.recordNoRuns();
    site.startNodes(3);
    json list = json::array();
    for (int i = 0; i < steps; i++)
        list.push_back({{"count", perStep}, {"cpu", 100}, {"memMb", 64}, {"estimateMs", taskMs}});
    if (site.client(0, "POST", path, Deployment::key, jobOf(taskMs, list)).status != 200) {
        note("the job was not accepted");
        return NotRun;
    }
    const auto running = [&site] {
        std::size_t count = 0;
        for (const auto &[id, worker] : site.allWorkers())
            count += worker->runningCount();
        return count;
    };
    const std::int64_t acceptedAt = nowMs();
    std::size_t started = 0;
    std::int64_t lastChange = acceptedAt;
    std::string state;
    while (nowMs() < acceptedAt + longestMs && nowMs() < lastChange + quietMs) {
        sleepMs(1000);
        const std::size_t seen = site.runsOf(job).size();
        if (seen != started)
            lastChange = nowMs();
        started = seen;
        note("the workers have begun " + std::to_string(started) + " tasks of the job, and "
             + std::to_string(running()) + " run");
        state = site.stateOf(1, path, Deployment::key);
        if (state == "completed")
            break;
    }
    const std::size_t stillRunning = running();
    const std::int64_t quiet = nowMs() - lastChange;
    // A job of the same queue shows that the system works.
    const std::string other = "/queue-a/00000000000000c3";
    const json one = {{{"count", 1}, {"cpu", 1000}, {"memMb", 512}, {"estimateMs", 500}}};
    const bool works = site.client(2, "POST", other, Deployment::key, jobOf(500, one)).status == 200
        && site.awaitState(2, other, Deployment::key, "completed", 8000);
    note(std::string("a small job beside it is ") + (works ? "completed" : "not completed"));
    return conclude(state != "completed" && stillRunning == 0 && quiet > idleMs,
                    std::to_string(started) + " of " + std::to_string(steps * perStep)
                        + " tasks were started, " + std::to_string(stillRunning)
                        + " run at the end, and no more was started for " + std::to_string(quiet)
                        + " ms; the job is shown as " + state);
}

} // namespace Scene
