#include <Core/JsonText.h>
#include <Tasks/JobRecord.h>

#include <algorithm>
#include <stdexcept>

namespace Hibiscus::Tasks {

namespace {

using nlohmann::json;

constexpr std::int64_t recordVersion = 1;

/// Columns of a task's row. A task that was never started is stored as the number 0 instead.
enum TaskColumn : std::uint8_t {
    StateColumn,
    RunColumn,
    FailuresColumn,
    WorkerColumn,
    IncarnationColumn,
    CheckpointColumn,
    LastFailedRunColumn,
};

json encodeStep(const Step &step)
{
    return {{"count", step.count},
            {"need", {step.need.milliCores, step.need.memoryMiB, step.need.accelerators}},
            {"estimate", toMs(step.estimate)},
            {"follows", step.after},
            {"gang", step.gang},
            {"oneRack", step.sameRack},
            {"checkpoints", step.checkpoints},
            {"endless", step.perpetual},
            {"filler", step.bestEffortCpu},
            {"image", step.image},
            {"responseTarget", toMs(step.responseTarget)},
            {"mostAway", step.maxUnavailable},
            {"label", step.requiredLabel},
            {"dataRack", step.dataRack},
            {"mostOnWorker", step.maxPerWorker}};
}

Step decodeStep(const json &value)
{
    Step step;
    step.count = value.at("count").get<std::int32_t>();
    const json &need = value.at("need");
    step.need = {need.at(0).get<std::int64_t>(), need.at(1).get<std::int64_t>(),
                 need.at(2).get<std::int64_t>()};
    step.estimate = milliseconds(value.at("estimate").get<std::int64_t>());
    step.after = value.at("follows").get<std::vector<std::int32_t>>();
    step.gang = value.at("gang").get<bool>();
    step.sameRack = value.at("oneRack").get<bool>();
    step.checkpoints = value.at("checkpoints").get<bool>();
    step.perpetual = value.at("endless").get<bool>();
    step.bestEffortCpu = value.at("filler").get<bool>();
    step.image = value.value("image", "");
    step.responseTarget = milliseconds(value.value("responseTarget", std::int64_t{0}));
    step.maxUnavailable = value.value("mostAway", 0);
    step.requiredLabel = value.at("label").get<std::string>();
    step.dataRack = value.at("dataRack").get<std::string>();
    step.maxPerWorker = value.at("mostOnWorker").get<std::int32_t>();
    return step;
}

/// Encodes the terms as three durations in ms: base, per worker, validity.
json encodePermits(const PermitTerms &terms)
{
    return {toMs(terms.base), toMs(terms.perWorker), toMs(terms.validity)};
}

PermitTerms decodePermits(const json &row)
{
    return {milliseconds(row.at(0).get<std::int64_t>()),
            milliseconds(row.at(1).get<std::int64_t>()),
            milliseconds(row.at(2).get<std::int64_t>())};
}

/// Throws std::out_of_range if the value is none of the states up to `last`.
template <class State>
State stateOf(const json &value, State last)
{
    const std::optional<std::int64_t> number
        = integerOf(value, {0, static_cast<std::int64_t>(last)});
    if (!number)
        throw std::out_of_range("has an unknown state");
    return static_cast<State>(*number);
}

json encodeTask(const TaskProgress &task)
{
    if (task == TaskProgress{})
        return 0;
    return json::array({static_cast<int>(task.state), task.run, task.failures, task.worker,
                        task.incarnation, task.checkpoint, task.lastFailedRun});
}

TaskProgress decodeTask(const json &row)
{
    TaskProgress task;
    if (!row.is_array())
        return task;
    task.state = stateOf(row.at(StateColumn), TaskState::Failed);
    task.run = row.at(RunColumn).get<std::int32_t>();
    task.failures = row.at(FailuresColumn).get<std::int32_t>();
    task.worker = row.at(WorkerColumn).get<std::string>();
    task.incarnation = row.at(IncarnationColumn).get<std::int64_t>();
    task.checkpoint = row.at(CheckpointColumn).get<std::string>();
    task.lastFailedRun = row.at(LastFailedRunColumn).get<std::int32_t>();
    return task;
}

/// Whether a task was ever assigned. Stands in for the mark in records that were written without
/// it.
bool hasAssignedTask(const JobProgress &progress)
{
    for (std::size_t i = 0; i < progress.taskCount(); i++) {
        if (progress.at(i).run > 0)
            return true;
    }
    return false;
}

json parseRecord(std::string_view text)
{
    json record = parseJson(text);
    if (record.is_discarded())
        throw std::out_of_range("is not valid JSON of few levels");
    return record;
}

/// Throws std::out_of_range if the job has no tasks or too many, or steps that refer to no earlier
/// step.
void checkJob(const Job &job)
{
    for (std::size_t i = 0; i < job.steps.size(); i++) {
        const Step &step = job.steps[i];
        const bool refersToEarlierSteps
            = std::all_of(step.after.begin(), step.after.end(), [i](std::int32_t earlier) {
                  return earlier >= 0 && static_cast<std::size_t>(earlier) < i;
              });
        if (step.count < 1 || !refersToEarlierSteps)
            throw std::out_of_range("step " + std::to_string(i) + " has no tasks or order");
    }
    if (job.steps.empty() || job.taskCount() > maxTasksPerJob)
        throw std::out_of_range("the job has no tasks or too many");
}

template <class Value, class Decode>
tl::expected<Value, std::string> decodeRecord(std::string_view text, Decode decode)
{
    try {
        return decode(parseRecord(text));
    } catch (const json::exception &error) {
        return tl::unexpected(std::string(error.what()));
    } catch (const std::out_of_range &error) {
        return tl::unexpected(std::string(error.what()));
    }
}

} // namespace

std::string encodeJob(const Job &job)
{
    json steps = json::array();
    for (const Step &step : job.steps)
        steps.push_back(encodeStep(step));
    const json record = {{"record", recordVersion},
                         {"id", job.id},
                         {"queue", job.queue},
                         {"service", job.service},
                         {"customer", job.customer},
                         {"priority", job.priority},
                         {"maxAttempts", job.maxAttempts},
                         {"stretch", job.stretch},
                         {"target", toMs(job.targetLatency)},
                         {"acceptedAt", job.acceptedAt},
                         {"payload", job.payload},
                         {"steps", std::move(steps)},
                         {"times", job.repetition.count},
                         {"firstAt", job.repetition.first},
                         {"every", toMs(job.repetition.interval)},
                         {"permits", encodePermits(job.permits)}};
    return record.dump();
}

tl::expected<Job, std::string> decodeJob(std::string_view text)
{
    return decodeRecord<Job>(text, [](const json &record) {
        Job job;
        job.id = record.at("id").get<std::string>();
        job.queue = record.at("queue").get<std::string>();
        job.service = record.at("service").get<std::string>();
        job.customer = record.at("customer").get<std::string>();
        job.priority = record.at("priority").get<std::int32_t>();
        job.maxAttempts = record.at("maxAttempts").get<std::int32_t>();
        job.stretch = record.at("stretch").get<double>();
        job.targetLatency = milliseconds(record.at("target").get<std::int64_t>());
        job.acceptedAt = record.at("acceptedAt").get<UnixMs>();
        job.payload = record.at("payload").get<std::string>();
        for (const json &step : record.at("steps"))
            job.steps.push_back(decodeStep(step));
        job.repetition.count = record.at("times").get<std::int32_t>();
        job.repetition.first = record.at("firstAt").get<UnixMs>();
        job.repetition.interval = milliseconds(record.at("every").get<std::int64_t>());
        if (record.contains("permits"))
            job.permits = decodePermits(record.at("permits"));
        checkJob(job);
        return job;
    });
}

std::string encodeProgress(const JobProgress &progress)
{
    json tasks = json::array();
    for (std::size_t i = 0; i < progress.taskCount(); i++)
        tasks.push_back(encodeTask(progress.at(i)));
    json record = {{"record", recordVersion},
                   {"state", static_cast<int>(progress.state)},
                   {"endedAt", progress.endedAt},
                   {"begun", progress.anyTaskBegun},
                   {"tasks", std::move(tasks)}};
    if (progress.finalSince)
        record["finalSince"] = *progress.finalSince;
    return record.dump();
}

tl::expected<JobProgress, std::string> decodeProgress(std::string_view text, const Job &job)
{
    return decodeRecord<JobProgress>(text, [&job](const json &record) {
        JobProgress progress(job);
        progress.state = stateOf(record.at("state"), JobState::Cancelled);
        progress.endedAt = record.at("endedAt").get<UnixMs>();
        if (record.contains("finalSince"))
            progress.finalSince = record.at("finalSince").get<TermTimeMs>();
        const json &tasks = record.at("tasks");
        for (std::size_t i = 0; i < progress.taskCount(); i++)
            progress.at(i) = decodeTask(tasks.at(i));
        progress.anyTaskBegun = record.value("begun", hasAssignedTask(progress));
        return progress;
    });
}

tl::expected<JobState, std::string> decodeProgressState(std::string_view text)
{
    return decodeRecord<JobState>(
        text, [](const json &record) { return stateOf(record.at("state"), JobState::Cancelled); });
}

} // namespace Hibiscus::Tasks
