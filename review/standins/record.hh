// Reads the starts and ends of runs back from the record of a case.
#pragma once

#include <cstdint>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace review {

struct RunSeen
{
    std::string task;
    std::int64_t run = 0;
    std::string worker;
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0; ///< 0: still at work, or gone with its worker's process.
    std::string how;
};

/// Lines: TIME worker ID: starts TASK run N ... | ends TASK run N HOW; TIME driver: SIGKILL to
/// worker ID ends its runs.
inline std::vector<RunSeen> readRuns(const std::string &file)
{
    std::vector<RunSeen> runs;
    std::ifstream stream(file);
    for (std::string line; std::getline(stream, line);) {
        std::istringstream words(line);
        std::int64_t time = 0;
        std::string who, worker, verb, task, word, how;
        std::int64_t run = 0;
        words >> time >> who >> worker >> verb;
        if (who == "driver:" && worker == "SIGKILL") {
            words >> word >> task; // "worker", its id
            for (RunSeen &seen : runs) {
                if (seen.worker == task && seen.endedAt == 0) {
                    seen.endedAt = time;
                    seen.how = "gone";
                }
            }
            continue;
        }
        if (who != "worker" || (verb != "starts" && verb != "ends"))
            continue;
        words >> task >> word >> run >> how;
        worker.pop_back();
        if (verb == "starts") {
            runs.push_back({task, run, worker, time, 0, ""});
            continue;
        }
        for (RunSeen &seen : runs) {
            if (seen.worker == worker && seen.task == task && seen.run == run
                && seen.endedAt == 0) {
                seen.endedAt = time;
                seen.how = how;
            }
        }
    }
    return runs;
}

} // namespace review
