#include <Tasks/WorkerSpeeds.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <numbers>
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

constexpr std::size_t none = std::numeric_limits<std::size_t>::max();
/// Serial that no step has.
constexpr std::uint64_t noStep = std::numeric_limits<std::uint64_t>::max();

/// Middle of the sorted values by weight, without that at `skipped`; between two values if half of
/// the weight is on each side.
double weightedMedian(std::span<const Weighted> sorted, std::size_t skipped = none)
{
    double all = 0.0;
    for (std::size_t i = 0; i < sorted.size(); i++)
        all += i == skipped ? 0.0 : sorted[i].weight;
    constexpr double tolerance = 1e-6;
    double sum = 0.0;
    std::optional<double> lower;
    for (std::size_t i = 0; i < sorted.size(); i++) {
        if (i == skipped)
            continue;
        if (lower)
            return (*lower + sorted[i].value) / 2;
        sum += sorted[i].weight;
        if (std::abs(sum - all / 2) < tolerance * all)
            lower = sorted[i].value;
        else if (sum > all / 2)
            return sorted[i].value;
    }
    return lower.value_or(0.0);
}

void sortByValue(std::vector<Weighted> &values)
{
    std::sort(values.begin(), values.end(),
              [](const Weighted &a, const Weighted &b) { return a.value < b.value; });
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
    this->changedSteps.clear();
    this->recheckedStep = 0;
    this->runCount = 0;
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
    return step->second;
}

/// Of the last step runs are kept in any case.
void WorkerSpeeds::forgetOldSteps()
{
    while (this->runCount > this->settings.maxRuns && this->steps.size() > 1) {
        const auto oldest = this->stepOrder.begin();
        const auto step = this->steps.find(oldest->second);
        this->runCount -= step->second.members.size();
        this->changedSteps.erase(oldest->first);
        this->steps.erase(step);
        this->stepOrder.erase(oldest);
    }
}

void WorkerSpeeds::recordProgress(const RunSample &sample, TimePoint now)
{
    StepRuns &step = this->stepOf(sample);
    const auto [place, added] = step.members.try_emplace(sample.index);
    Member &member = place->second;
    this->runCount += added ? 1 : 0;
    if (!added && sample.run < member.run)
        return;
    if (added || member.run != sample.run) {
        member = {};
        member.worker = sample.worker;
        member.run = sample.run;
        member.startedAt = sample.startedAt;
        member.firstAt = sample.startedAt.value_or(now);
        member.firstPercent = sample.startedAt ? 0 : sample.percent;
        member.lastPercent = member.firstPercent;
    }
    // A member of a gang that has done its work waits for the others at 100 percent, so the time of
    // its end is unknown. A run that is reported for the first time since it had less shows its
    // rate.
    const bool hasWaited = step.gang && sample.percent >= completePercent;
    if (hasWaited || sample.percent <= member.lastPercent)
        return;
    const std::int32_t progress = sample.percent - member.firstPercent;
    // The rate is used again only when it has become clearly better known, so that a long run costs
    // few comparisons.
    const bool isBetterKnown = 2 * progress >= 3 * member.usedProgress;
    const bool isOver = sample.percent >= completePercent;
    if (progress < this->settings.minProgress || (!isBetterKnown && !isOver))
        return;
    member.lastAt = now;
    member.lastPercent = sample.percent;
    member.usedProgress = progress;
    this->changedSteps.insert(step.serial);
    this->forgetOldSteps();
}

void WorkerSpeeds::update()
{
    std::size_t compared = 0;
    while (!this->changedSteps.empty() && compared < this->settings.maxComparedRuns) {
        const std::uint64_t serial = *this->changedSteps.begin();
        this->changedSteps.erase(this->changedSteps.begin());
        const StepRuns &step = this->steps.at(this->stepOrder.at(serial));
        compared += step.members.size();
        this->compare(step);
    }
    this->recheckOldSteps();
}

/// A step that ran while little was known of its workers says more once they are known from others.
void WorkerSpeeds::recheckOldSteps()
{
    std::size_t compared = 0;
    for (std::size_t i = 0; i < this->steps.size(); i++) {
        auto next = this->stepOrder.upper_bound(this->recheckedStep);
        if (next == this->stepOrder.end())
            next = this->stepOrder.begin();
        const StepRuns &step = this->steps.at(next->second);
        this->recheckedStep = next->first;
        this->compare(step);
        compared += step.members.size();
        if (compared >= this->settings.maxRecheckedRuns)
            return;
    }
}

/// The tasks of a gang begin to work when all of them are there.
TimePoint WorkerSpeeds::workStart(const StepRuns &step, const Member &member)
{
    TimePoint start = member.firstAt;
    if (!step.gang || !member.startedAt)
        return start;
    for (const auto &[index, other] : step.members) {
        if (other.run == member.run && other.startedAt)
            start = std::max(start, *other.startedAt);
    }
    return start;
}

/// Run time of the whole task by the rate of the work done. Percents are whole numbers, cut off.
std::optional<WorkerSpeeds::Estimate> WorkerSpeeds::runTimeOf(const StepRuns &step,
                                                              const Member &member) const
{
    if (member.usedProgress == 0)
        return std::nullopt;
    constexpr double cutOff = 0.5;
    const bool isOver = member.lastPercent >= completePercent;
    const double progress = member.usedProgress + (isOver ? 0.0 : cutOff);
    const double elapsed = toSeconds(member.lastAt - workStart(step, member));
    if (elapsed <= 0.0)
        return std::nullopt;
    const double deviation
        = step.gang ? this->settings.gangDeviation : this->settings.taskDeviation;
    return Estimate{std::log(elapsed * completePercent / progress),
                    squared(deviation) + squared(cutOff / progress)};
}

/// Runs on one worker share its speed, so they count as one run whose tasks differ less.
std::vector<WorkerSpeeds::WorkerRuns> WorkerSpeeds::runsByWorker(const StepRuns &step) const
{
    std::map<std::string_view, std::vector<Weighted>> runs;
    for (const auto &[index, member] : step.members) {
        if (const std::optional<Estimate> runTime = this->runTimeOf(step, member))
            runs[member.worker].push_back({runTime->value, 1.0 / runTime->variance});
    }
    std::vector<WorkerRuns> byWorker;
    for (auto &[name, runTimes] : runs) {
        sortByValue(runTimes);
        double weight = 0.0;
        for (const Weighted &runTime : runTimes)
            weight += runTime.weight;
        const Estimate runTime{weightedMedian(runTimes), 1.0 / weight};
        // What this step's runs say of the worker must not confirm itself.
        const auto worker = this->workers.find(name);
        const Estimate speed = worker == this->workers.end()
            ? this->combine({}, step.serial)
            : this->combine(worker->second, step.serial);
        byWorker.push_back(
            {name, runTime, {runTime.value - speed.value, runTime.variance + speed.variance}});
    }
    return byWorker;
}

/// Estimates the step's run time on a typical worker from the runs on the other workers, and takes
/// the ratio of a worker's runs to it as evidence of its speed.
void WorkerSpeeds::compare(const StepRuns &step)
{
    std::vector<WorkerRuns> runs = this->runsByWorker(step);
    if (runs.size() < 2)
        return;
    std::sort(runs.begin(), runs.end(), [](const WorkerRuns &a, const WorkerRuns &b) {
        return a.typicalRunTime.value < b.typicalRunTime.value;
    });
    std::vector<Weighted> typical;
    double weight = 0.0;
    for (const WorkerRuns &worker : runs) {
        typical.push_back({worker.typicalRunTime.value, 1.0 / worker.typicalRunTime.variance});
        weight += typical.back().weight;
    }
    // Among many workers, leaving out each in turn changes the middle little.
    constexpr std::size_t manyWorkers = 32;
    const bool isLarge = runs.size() > manyWorkers;
    const double middle = weightedMedian(typical);
    for (std::size_t i = 0; i < runs.size(); i++) {
        const WorkerRuns &worker = runs[i];
        const double others = isLarge ? middle : weightedMedian(typical, i);
        // A median varies more than a mean, by this factor.
        constexpr double medianVariance = std::numbers::pi / 2;
        const double variance
            = worker.runTime.variance + medianVariance / (weight - typical[i].weight);
        this->setEvidence(worker.worker, {step.serial, {worker.runTime.value - others, variance}});
    }
}

/// Workers of which only a stored speed is known are dropped first, then those that ran no recent
/// step.
void WorkerSpeeds::makeRoomForWorker()
{
    if (this->workers.size() < this->settings.maxWorkers)
        return;
    const auto lastStep = [](const auto &entry) {
        return entry.second.evidence.empty() ? std::uint64_t{0} : entry.second.evidence.back().step;
    };
    this->workers.erase(
        std::min_element(this->workers.begin(), this->workers.end(),
                         [&](const auto &a, const auto &b) { return lastStep(a) < lastStep(b); }));
}

void WorkerSpeeds::setEvidence(std::string_view name, const Evidence &evidence)
{
    auto found = this->workers.find(name);
    if (found == this->workers.end()) {
        this->makeRoomForWorker();
        found = this->workers.emplace(name, Worker{}).first;
    }
    Worker &worker = found->second;
    const auto isOlder
        = [](const Evidence &other, std::uint64_t step) { return other.step < step; };
    auto place
        = std::lower_bound(worker.evidence.begin(), worker.evidence.end(), evidence.step, isOlder);
    if (place != worker.evidence.end() && place->step == evidence.step)
        place = worker.evidence.erase(place);
    if (std::abs(evidence.ratio.value) <= std::log(this->settings.maxFactor))
        worker.evidence.insert(place, evidence);
    if (worker.evidence.size() > this->settings.stepsPerWorker)
        worker.evidence.erase(worker.evidence.begin());
    worker.speed = this->combine(worker, noStep);
}

bool WorkerSpeeds::isKnown(const Worker &worker) const
{
    return !worker.evidence.empty()
        && worker.speed.variance <= squared(this->settings.knownDeviation);
}

/// Mean by weight, drawn toward the typical worker. Single runs far from the others, as of a long
/// task or during a disturbance, have less weight.
WorkerSpeeds::Estimate WorkerSpeeds::combine(const Worker &worker, std::uint64_t withoutStep) const
{
    std::vector<Weighted> values;
    for (const Evidence &evidence : worker.evidence) {
        if (evidence.step != withoutStep)
            values.push_back({evidence.ratio.value, 1.0 / evidence.ratio.variance});
    }
    sortByValue(values);
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

void WorkerSpeeds::updateSpread(std::string_view service, std::span<const std::string> names)
{
    std::vector<double> values;
    for (const std::string &name : names) {
        const auto worker = this->workers.find(name);
        if (worker != this->workers.end() && this->isKnown(worker->second))
            values.push_back(worker->second.speed.value);
    }
    auto found = this->services.find(service);
    if (found == this->services.end())
        found = this->services.emplace(service, Spread{}).first;
    Spread &spread = found->second;
    const double minSpread
        = this->settings.minSpread * (spread.differs ? this->settings.minSpreadShare : 1.0);
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
        && spread.slowest >= minSpread * spread.fastest;
}

WorkerSpeeds::Speed WorkerSpeeds::speedOf(std::string_view service, std::string_view name) const
{
    const auto spread = this->services.find(service);
    const auto worker = this->workers.find(name);
    if (spread == this->services.end() || !spread->second.differs)
        return {};
    if (worker == this->workers.end() || !this->isKnown(worker->second))
        return {.deviation = this->settings.workerDeviation};
    const Estimate &speed = worker->second.speed;
    return {std::exp(speed.value - this->typical.find(service)->second), true,
            std::sqrt(speed.variance)};
}

/// Each plan asks for each worker, so that names are made only if they are needed.
WorkerSpeeds::Speed WorkerSpeeds::speedOf(const WorkerEntry &worker) const
{
    const auto spread = this->services.find(worker.service);
    if (spread == this->services.end() || !spread->second.differs)
        return {};
    return this->speedOf(worker.service, identityOf(worker));
}

std::string WorkerSpeeds::encode() const
{
    const bool differs = std::any_of(this->services.begin(), this->services.end(),
                                     [](const auto &entry) { return entry.second.differs; });
    if (!differs)
        return {};
    std::vector<const std::pair<const std::string, Worker> *> known;
    for (const auto &worker : this->workers) {
        if (this->isKnown(worker.second))
            known.push_back(&worker);
    }
    std::stable_sort(known.begin(), known.end(), [](const auto *a, const auto *b) {
        return std::abs(a->second.speed.value) > std::abs(b->second.speed.value);
    });
    nlohmann::json record = nlohmann::json::object();
    std::size_t bytes = 0;
    for (const auto *worker : known) {
        constexpr std::size_t bytesOfNumbers = 20;
        bytes += worker->first.size() + bytesOfNumbers;
        if (bytes > this->settings.maxStoredBytes)
            break;
        const Estimate &speed = worker->second.speed;
        record[worker->first]
            = {std::lround(speed.value / storedUnit), std::lround(speed.variance / storedUnit)};
    }
    return record.dump();
}

bool WorkerSpeeds::restore(std::string_view text)
{
    const nlohmann::json record = nlohmann::json::parse(text, nullptr, false);
    if (!record.is_object())
        return false;
    // Ratios beyond this, and variances beyond their prior, are not written.
    const auto isNumber = [](const nlohmann::json &value) {
        constexpr std::int64_t largest = 5000;
        return value.is_number_integer() && std::abs(value.get<std::int64_t>()) <= largest;
    };
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
        this->setEvidence(name, {0, {ratio * (weight + prior) / weight, 1.0 / weight}});
    }
    return true;
}

} // namespace Hibiscus::Tasks
