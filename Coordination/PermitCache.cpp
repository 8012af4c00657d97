#include <Coordination/PermitCache.h>

#include <algorithm>
#include <utility>

namespace Hibiscus::Coordination {

using Runtime::LogKind;
using Tasks::PermitTerms;
using Tasks::PlacementAnswer;
using Tasks::PlacementOutcome;
using Tasks::StartRequest;
using Tasks::StepRef;
using Tasks::WorkerView;

namespace {

StepRef stepOf(const StartRequest &request)
{
    return {std::string(request.job), request.occurrence, request.stepNumber};
}

bool canRun(const StartRequest &request, const WorkerView &worker)
{
    const std::string &label = request.step->requiredLabel;
    return worker.usable && worker.service == request.service
        && (label.empty()
            || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end());
}

/// Number of the request's tasks that fit into the worker's free resources.
std::size_t tasksFitting(const StartRequest &request, const WorkerView &worker)
{
    const Tasks::Resources need = request.step->allocatedResources();
    Tasks::Resources room = worker.free;
    std::size_t tasks = 0;
    while (tasks < request.indexes.size() && need.fitsInto(room)) {
        room -= need;
        tasks++;
    }
    return tasks;
}

} // namespace

PermitCache::PermitCache(Tasks::PlacementService &service, TimerService &timers,
                         EventLogger &logger, const Settings &settings,
                         std::function<void(TimePoint)> permitsChanged)
    : service(service)
    , timers(timers)
    , logger(logger)
    , settings(settings)
    , permitsChanged(std::move(permitsChanged))
{}

void PermitCache::clear()
{
    this->generation++;
    this->queryInFlight = false;
    this->steps.clear();
    this->nextQuery.reset();
}

bool PermitCache::isValid(const Permit &permit, TimePoint now) const
{
    return now + this->settings.startReserve < permit.validUntil;
}

void PermitCache::restrictToPermitted(StartRequest &request, const PermitTerms &terms,
                                      std::span<const WorkerView> workers, Tasks::UnixMs wall,
                                      TimePoint now)
{
    const StepPermits &known = this->steps[stepOf(request)];
    request.permitted.emplace();
    std::size_t covered = 0;
    std::vector<std::size_t> unknown;
    for (std::size_t i = 0; i < workers.size(); i++) {
        const WorkerView &worker = workers[i];
        if (!canRun(request, worker) || known.deniedWorkers.contains(worker.id))
            continue;
        const auto permit = known.permits.find(worker.id);
        const bool valid = permit != known.permits.end()
            && permit->second.incarnation == worker.incarnation
            && this->isValid(permit->second, now);
        if (valid) {
            request.permitted->push_back(i);
            covered += tasksFitting(request, worker);
        } else {
            unknown.push_back(i);
        }
    }
    if (covered >= request.indexes.size() || unknown.empty())
        return;
    PermitQuery query = this->buildQuery(request, terms, workers, unknown, wall);
    const bool first = !this->nextQuery || query.rank < this->nextQuery->rank
        || (query.rank == this->nextQuery->rank
            && query.objectiveAt < this->nextQuery->objectiveAt);
    if (first)
        this->nextQuery = std::move(query);
}

/// Orders workers by the number of tasks that fit, most first. For a step that must run in one
/// rack, the racks are ordered by their total room and queried one after the other.
PermitCache::PermitQuery PermitCache::buildQuery(const StartRequest &request,
                                                 const PermitTerms &terms,
                                                 std::span<const WorkerView> workers,
                                                 std::span<const std::size_t> candidates,
                                                 Tasks::UnixMs wall) const
{
    struct Candidate
    {
        std::size_t worker = 0;
        std::size_t tasks = 0;
        std::size_t tasksOfRack = 0;
    };
    std::map<std::string_view, std::size_t> tasksByRack;
    const auto rackOf = [&workers](std::size_t worker) {
        const auto &labels = workers[worker].labels;
        return labels.empty() ? std::string_view() : std::string_view(labels.back());
    };
    std::vector<Candidate> ordered;
    for (const std::size_t worker : candidates) {
        const std::size_t tasks = tasksFitting(request, workers[worker]);
        tasksByRack[rackOf(worker)] += tasks;
        ordered.push_back({worker, tasks});
    }
    const bool byRack = request.step->sameRack;
    for (Candidate &candidate : ordered)
        candidate.tasksOfRack = byRack ? tasksByRack[rackOf(candidate.worker)] : 0;
    std::stable_sort(
        ordered.begin(), ordered.end(), [](const Candidate &left, const Candidate &right) {
            return left.tasksOfRack != right.tasksOfRack ? left.tasksOfRack > right.tasksOfRack
                                                         : left.tasks > right.tasks;
        });
    ordered.resize(std::min(ordered.size(), this->settings.maxWorkersPerQuery));
    PermitQuery query;
    query.step = stepOf(request);
    query.terms = terms;
    query.rank = Tasks::StartPlanner::rankOf(request, wall);
    query.objectiveAt = request.objectiveAt;
    for (const Candidate &candidate : ordered) {
        const WorkerView &worker = workers[candidate.worker];
        query.workers.emplace_back(worker.id);
        query.incarnations[std::string(worker.id)] = worker.incarnation;
    }
    return query;
}

void PermitCache::sendQuery(TimePoint now)
{
    std::optional<PermitQuery> query = std::exchange(this->nextQuery, std::nullopt);
    if (!query || this->queryInFlight)
        return;
    this->queryInFlight = true;
    const auto count = static_cast<Duration::rep>(query->workers.size());
    const Duration timeout
        = query->terms.base + query->terms.perWorker * count + this->settings.timeoutSlack;
    const auto handler = [this, asked = *query, sentAt = now, generation = this->generation](
                             const PlacementAnswer &answer, TimePoint at) {
        if (generation == this->generation)
            this->handleAnswer(asked, answer, sentAt, at);
    };
    this->service.requestPermits(query->step, query->workers, timeout, handler);
}

void PermitCache::handleAnswer(const PermitQuery &query, const PlacementAnswer &answer,
                               TimePoint sentAt, TimePoint now)
{
    this->queryInFlight = false;
    const bool known = answer.outcome == PlacementOutcome::Answered;
    this->logger.logEvent(LogKind::Task, known ? "placement told" : "placement not told",
                          {{"request", query.step.job},
                           {"step", query.step.step},
                           {"asked", query.workers.size()},
                           {"permitted", answer.permits.size()},
                           {"tookMs", toMs(now - sentAt)}},
                          now);
    if (!known) {
        this->timers.after(this->settings.retryDelay,
                           [this, generation = this->generation](TimePoint at) {
                               if (generation == this->generation)
                                   this->permitsChanged(at);
                           });
        return;
    }
    StepPermits &step = this->steps[query.step];
    step.deniedWorkers.insert(query.workers.begin(), query.workers.end());
    for (const Tasks::PlacementPermit &permit : answer.permits) {
        const auto asked = query.incarnations.find(permit.worker);
        if (asked == query.incarnations.end())
            continue;
        step.deniedWorkers.erase(permit.worker);
        // The validity begins when the placement service decides, which is after the query was
        // sent, so this expiry time is never too late.
        step.permits[permit.worker] = {permit.permit, asked->second, sentAt + query.terms.validity};
    }
    this->permitsChanged(now);
}

std::string PermitCache::permitOf(const StepRef &step, std::string_view worker, TimePoint now) const
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return {};
    const auto permit = known->second.permits.find(worker);
    const bool valid = permit != known->second.permits.end() && now < permit->second.validUntil;
    return valid ? permit->second.text : std::string();
}

void PermitCache::discardPermit(const StepRef &step, std::string_view worker)
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return;
    const auto permit = known->second.permits.find(worker);
    if (permit != known->second.permits.end())
        known->second.permits.erase(permit);
}

void PermitCache::removeJob(std::string_view job)
{
    const auto first = this->steps.lower_bound({std::string(job), 0, 0});
    auto last = first;
    while (last != this->steps.end() && last->first.job == job)
        ++last;
    this->steps.erase(first, last);
}

} // namespace Hibiscus::Coordination
