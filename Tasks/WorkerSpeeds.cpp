#include <Tasks/WorkerSpeeds.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace Hibiscus::Tasks {

namespace {

/// Logarithms and variances are stored in this unit.
constexpr double storedUnit = 0.001;
/// Beyond this difference from the middle of a worker's evidence, evidence loses weight.
constexpr double robustRange = 0.3;

double squared(double value)
{
    return value * value;
}

struct Weighted
{
    double value = 0.0;
    double weight = 0.0;
};

/// Middle of the values by weight; between two values if half of the weight is on each side.
double weightedMedian(std::vector<Weighted> values)
{
    std::sort(values.begin(), values.end(),
              [](const Weighted &a, const Weighted &b) { return a.value < b.value; });
    double all = 0.0;
    for (const Weighted &value : values)
        all += value.weight;
    constexpr double tolerance = 1e-9;
    double sum = 0.0;
    for (std::size_t i = 0; i < values.size(); i++) {
        sum += values[i].weight;
        if (std::abs(sum - all / 2) < tolerance * all && i + 1 < values.size())
            return (values[i].value + values[i + 1].value) / 2;
        if (sum > all / 2)
            return values[i].value;
    }
    return 0.0;
}

double valueAtShare(std::vector<double> &values, double share)
{
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

} // namespace

std::string WorkerSpeeds::identityOf(const WorkerEntry &worker)
{
    return worker.machine.empty() ? worker.id + "/" + std::to_string(worker.incarnation)
                                  : worker.machine;
}

void WorkerSpeeds::clear()
{
    this->steps.clear();
    this->stepOrder.clear();
    this->workers.clear();
    this->services.clear();
    this->typical.clear();
}

WorkerSpeeds::StepRuns &WorkerSpeeds::stepOf(const RunSample &sample)
{
    const auto [step, added] = this->steps.try_emplace(sample.step);
    if (added) {
        step->second.serial = ++this->lastSerial;
        step->second.gang = sample.gang;
        this->stepOrder[step->second.serial] = sample.step;
    }
    if (this->steps.size() > this->settings.maxSteps) {
        this->steps.erase(this->stepOrder.begin()->second);
        this->stepOrder.erase(this->stepOrder.begin());
    }
    return step->second;
}

void WorkerSpeeds::recordProgress(const RunSample &sample, TimePoint now)
{
    StepRuns &step = this->stepOf(sample);
    Member &member = step.members[sample.index];
    const bool isOther = member.run != sample.run || member.worker != sample.worker;
    if (isOther && sample.run < member.run)
        return;
    if (isOther) {
        member = {};
        member.worker = sample.worker;
        member.run = sample.run;
        member.startedAt = sample.startedAt;
        member.firstAt = sample.startedAt.value_or(now);
        member.firstPercent = sample.startedAt ? 0 : sample.percent;
    }
    // A member of a gang that has done its work waits for the others at 100 percent, so the time of
    // its end is unknown. The time at which any other task is at 100 percent is that of its end.
    if (sample.percent >= completePercent && step.gang)
        return;
    if (sample.percent <= member.lastPercent && !isOther)
        return;
    member.lastAt = now;
    member.lastPercent = sample.percent;
    // The rate is used again only when it has become clearly better known, so that a long run costs
    // few comparisons.
    const std::int32_t progress = sample.percent - member.firstPercent;
    const bool isBetterKnown = 2 * progress >= 3 * member.usedProgress;
    const bool isOver = sample.percent >= completePercent;
    if (progress < this->settings.minProgress || (!isBetterKnown && !isOver))
        return;
    member.usedProgress = progress;
    this->compare(step);
}

/// Run time of the whole task by the rate of the work done. The percents are whole numbers, cut
/// off.
std::optional<WorkerSpeeds::Estimate> WorkerSpeeds::runTimeOf(const StepRuns &step,
                                                              const Member &member) const
{
    if (member.usedProgress == 0)
        return std::nullopt;
    // The tasks of a gang begin to work when all of them are there.
    TimePoint from = member.firstAt;
    if (step.gang && member.startedAt) {
        for (const auto &[index, other] : step.members) {
            if (other.run == member.run && other.startedAt)
                from = std::max(from, *other.startedAt);
        }
    }
    constexpr double cutOff = 0.5;
    const bool isOver = member.lastPercent >= completePercent;
    const double progress = member.lastPercent - member.firstPercent + (isOver ? 0.0 : cutOff);
    const double elapsed = toSeconds(member.lastAt - from);
    if (elapsed <= 0.0 || progress <= 0.0)
        return std::nullopt;
    const double deviation
        = step.gang ? this->settings.gangDeviation : this->settings.taskDeviation;
    return Estimate{std::log(elapsed * completePercent / progress),
                    squared(deviation) + squared(cutOff / progress)};
}

/// Estimates the run time of the step on a typical worker from the other members' runs and speeds,
/// and takes the ratio of each run to it as evidence of its worker's speed.
void WorkerSpeeds::compare(const StepRuns &step)
{
    struct Run
    {
        std::int32_t index = 0;
        const std::string *worker = nullptr;
        Estimate runTime;
    };
    std::vector<Run> runs;
    std::vector<Weighted> typicalRunTimes;
    double weight = 0.0;
    for (const auto &[index, member] : step.members) {
        const std::optional<Estimate> runTime = this->runTimeOf(step, member);
        if (!runTime)
            continue;
        // What this step's runs say of a worker must not confirm itself.
        const Estimate speed = this->combine(this->workers[member.worker], step.serial);
        typicalRunTimes.push_back(
            {runTime->value - speed.value, 1.0 / (runTime->variance + speed.variance)});
        weight += typicalRunTimes.back().weight;
        runs.push_back({index, &member.worker, *runTime});
    }
    if (runs.size() < 2)
        return;
    const double typicalRunTime = weightedMedian(typicalRunTimes);
    for (std::size_t i = 0; i < runs.size(); i++) {
        const Run &run = runs[i];
        const double variance = run.runTime.variance + 1.0 / (weight - typicalRunTimes[i].weight);
        const double ratio = run.runTime.value - typicalRunTime;
        this->setEvidence(*run.worker, {step.serial, run.index, {ratio, variance}});
    }
}

void WorkerSpeeds::setEvidence(const std::string &name, const Evidence &evidence)
{
    Worker &worker = this->workers[name];
    const auto isSame = [&evidence](const Evidence &other) {
        return other.step == evidence.step && other.index == evidence.index;
    };
    const auto known = std::find_if(worker.evidence.begin(), worker.evidence.end(), isSame);
    const bool isOdd = std::abs(evidence.ratio.value) > std::log(this->settings.maxFactor);
    if (known != worker.evidence.end() && isOdd)
        worker.evidence.erase(known);
    else if (known != worker.evidence.end())
        *known = evidence;
    else if (!isOdd)
        worker.evidence.push_back(evidence);
    if (worker.evidence.size() > this->settings.runsPerWorker)
        worker.evidence.erase(worker.evidence.begin());
    worker.speed = this->combine(worker, 0);
}

/// Mean by weight, drawn toward the typical worker. Single runs far from the others, as of a long
/// task or during a disturbance, have less weight.
WorkerSpeeds::Estimate WorkerSpeeds::combine(const Worker &worker, std::uint64_t withoutStep) const
{
    std::vector<Weighted> values;
    for (const Evidence &evidence : worker.evidence) {
        if (evidence.step != withoutStep || withoutStep == 0)
            values.push_back({evidence.ratio.value, 1.0 / evidence.ratio.variance});
    }
    const double middle = weightedMedian(values);
    double weights = 1.0 / squared(this->settings.workerDeviation);
    double sum = 0.0;
    for (const Weighted &value : values) {
        const double distance = std::abs(value.value - middle);
        const double weight = value.weight * std::min(1.0, robustRange / std::max(distance, 1e-9));
        weights += weight;
        sum += weight * value.value;
    }
    return {sum / weights, 1.0 / weights};
}

void WorkerSpeeds::updateSpread(std::string_view service, std::vector<std::string> names)
{
    std::vector<double> values;
    for (const std::string &name : names) {
        const auto worker = this->workers.find(name);
        const bool known = worker != this->workers.end()
            && worker->second.speed.variance <= squared(this->settings.knownDeviation)
            && !worker->second.evidence.empty();
        if (known)
            values.push_back(worker->second.speed.value);
    }
    auto found = this->services.find(service);
    if (found == this->services.end())
        found = this->services.emplace(service, Spread{}).first;
    Spread &spread = found->second;
    spread = {};
    spread.known = values.size();
    if (values.empty())
        return;
    constexpr double tenth = 0.1;
    const double middle = valueAtShare(values, 0.5);
    this->typical[std::string(service)] = middle;
    spread.slowest = std::exp(valueAtShare(values, 1.0 - tenth) - middle);
    spread.fastest = std::exp(valueAtShare(values, tenth) - middle);
    spread.differs = spread.known >= this->settings.minKnownWorkers
        && spread.slowest >= this->settings.minSpread * spread.fastest;
}

WorkerSpeeds::Speed WorkerSpeeds::speedOf(std::string_view service, std::string_view name) const
{
    const auto spread = this->services.find(service);
    const auto worker = this->workers.find(name);
    if (spread == this->services.end() || !spread->second.differs || worker == this->workers.end())
        return {};
    const Estimate &speed = worker->second.speed;
    const bool known = !worker->second.evidence.empty()
        && speed.variance <= squared(this->settings.knownDeviation);
    if (!known)
        return {};
    return {std::exp(speed.value - this->typical.find(service)->second), true};
}

std::string WorkerSpeeds::encode() const
{
    const bool differs = std::any_of(this->services.begin(), this->services.end(),
                                     [](const auto &entry) { return entry.second.differs; });
    if (!differs)
        return {};
    nlohmann::json record = nlohmann::json::object();
    for (const auto &[name, worker] : this->workers) {
        const bool known = !worker.evidence.empty()
            && worker.speed.variance <= squared(this->settings.knownDeviation);
        if (known && record.size() < this->settings.maxStoredWorkers)
            record[name] = {std::lround(worker.speed.value / storedUnit),
                            std::lround(worker.speed.variance / storedUnit)};
    }
    return record.dump();
}

bool WorkerSpeeds::restore(std::string_view text)
{
    const nlohmann::json record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object())
        return false;
    const auto isNumber = [](const nlohmann::json &value) { return value.is_number_integer(); };
    for (const auto &[name, value] : record.items()) {
        if (!value.is_array() || value.size() != 2
            || !std::all_of(value.begin(), value.end(), isNumber))
            return false;
    }
    for (const auto &[name, value] : record.items()) {
        Worker &worker = this->workers[name];
        if (!worker.evidence.empty())
            continue;
        const double ratio = value[0].get<double>() * storedUnit;
        const double variance = std::max(value[1].get<double>(), 1.0) * storedUnit;
        // The stored estimate was drawn toward the typical worker already.
        const double prior = 1.0 / squared(this->settings.workerDeviation);
        const double weight = std::max(1.0 / variance - prior, prior);
        this->setEvidence(name, {0, 0, {ratio * (weight + prior) / weight, 1.0 / weight}});
    }
    return true;
}

} // namespace Hibiscus::Tasks
