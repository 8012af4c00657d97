#include <Gateway/JsonFields.h>
#include <StandIns/RunLog.h>

#include <algorithm>
#include <utility>

namespace Hibiscus {

RunLog::RunLog(std::string worker, std::string incarnation)
    : worker(std::move(worker))
    , incarnation(std::move(incarnation))
{}

std::string RunLog::jobOf(std::string_view jobText)
{
    const nlohmann::json job = nlohmann::json::parse(jobText, nullptr, false);
    const bool keyed = job.is_object() && job.contains("key") && job["key"].is_string();
    return keyed ? job["key"].get<std::string>() : std::string(jobText);
}

void RunLog::started(std::string_view task, std::string_view jobText, std::uint32_t slots,
                     TimePoint now)
{
    const std::string job = jobOf(jobText);
    JobRuns &runs = this->runsOfJobs[job];
    ++runs.starts;
    ++runs.runningTasks;
    runs.runningSlots += slots;
    runs.mostTasks = std::max(runs.mostTasks, runs.runningTasks);
    runs.mostSlots = std::max(runs.mostSlots, runs.runningSlots);
    ++this->startsOfTasks[std::string(task)];
    this->addLine("started", task, job, slots, now);
}

void RunLog::ended(std::string_view task, std::string_view jobText, std::uint32_t slots,
                   std::string_view state, TimePoint now)
{
    const std::string job = jobOf(jobText);
    JobRuns &runs = this->runsOfJobs[job];
    --runs.runningTasks;
    runs.runningSlots -= slots;
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
    for (const auto &[job, runs] : this->runsOfJobs) {
        jobs[job] = {{"starts", runs.starts},
                     {"runningTasks", runs.runningTasks},
                     {"runningSlots", runs.runningSlots},
                     {"mostTasks", runs.mostTasks},
                     {"mostSlots", runs.mostSlots}};
    }
    return jsonText({{"worker", this->worker},
                     {"incarnation", this->incarnation},
                     {"jobs", std::move(jobs)},
                     {"tasks", this->startsOfTasks}});
}

} // namespace Hibiscus
