#include <Gateway/JsonFields.h>
#include <StandIns/RunLog.h>

#include <algorithm>
#include <utility>

namespace Hibiscus {

RunLog::RunLog(std::string worker, std::string incarnation)
    : worker(std::move(worker))
    , incarnation(std::move(incarnation))
{}

std::string RunLog::jobKey(std::string_view jobText)
{
    const nlohmann::json job = nlohmann::json::parse(jobText, nullptr, false);
    const bool hasKey = job.is_object() && job.contains("key") && job["key"].is_string();
    return hasKey ? job["key"].get<std::string>() : std::string(jobText);
}

void RunLog::recordStart(std::string_view task, std::string_view jobText, std::uint32_t slots,
                         TimePoint now)
{
    const std::string job = jobKey(jobText);
    JobRunCounters &counters = this->countersByJob[job];
    ++counters.starts;
    ++counters.runningTasks;
    counters.runningSlots += slots;
    counters.mostTasks = std::max(counters.mostTasks, counters.runningTasks);
    counters.mostSlots = std::max(counters.mostSlots, counters.runningSlots);
    ++this->startsByTask[std::string(task)];
    this->addLine("started", task, job, slots, now);
}

void RunLog::recordEnd(std::string_view task, std::string_view jobText, std::uint32_t slots,
                       std::string_view state, TimePoint now)
{
    const std::string job = jobKey(jobText);
    JobRunCounters &counters = this->countersByJob[job];
    --counters.runningTasks;
    counters.runningSlots -= slots;
    this->addLine(state, task, job, slots, now);
}

std::vector<std::string> RunLog::takeLines()
{
    return std::exchange(this->lines, {});
}

void RunLog::addLine(std::string_view event, std::string_view task, std::string_view job,
                     std::uint32_t slots, TimePoint now)
{
    this->lines.push_back(jsonText({{"worker", this->worker},
                                    {"incarnation", this->incarnation},
                                    {"event", event},
                                    {"task", task},
                                    {"job", job},
                                    {"slots", slots},
                                    {"atUs", now.time_since_epoch().count()}}));
}

std::string RunLog::toJson() const
{
    nlohmann::json jobs = nlohmann::json::object();
    for (const auto &[job, counters] : this->countersByJob) {
        jobs[job] = {{"starts", counters.starts},
                     {"runningTasks", counters.runningTasks},
                     {"runningSlots", counters.runningSlots},
                     {"mostTasks", counters.mostTasks},
                     {"mostSlots", counters.mostSlots}};
    }
    return jsonText({{"worker", this->worker},
                     {"incarnation", this->incarnation},
                     {"jobs", std::move(jobs)},
                     {"tasks", this->startsByTask}});
}

} // namespace Hibiscus
