#include <Coordination/PermitBook.h>

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

bool mayRun(const StartRequest &request, const WorkerView &worker)
{
    const std::string &label = request.step->requiredLabel;
    return worker.usable && worker.service == request.service
        && (label.empty()
            || std::find(worker.labels.begin(), worker.labels.end(), label) != worker.labels.end());
}

/// Tasks of the request for which the worker has room now.
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

PermitBook::PermitBook(Tasks::PlacementService &service, TimerService &timers, Journal &journal,
                       const Settings &settings, std::function<void(TimePoint)> changed)
    : service(service)
    , timers(timers)
    , journal(journal)
    , settings(settings)
    , changed(std::move(changed))
{}

void PermitBook::clear()
{
    this->generation++;
    this->asking = false;
    this->steps.clear();
    this->next.reset();
}

bool PermitBook::isValid(const Permit &permit, TimePoint now) const
{
    return now + this->settings.startReserve < permit.validUntil;
}

void PermitBook::restrict(StartRequest &request, const PermitTerms &terms,
                          std::span<const WorkerView> workers, Tasks::UnixMs wall, TimePoint now)
{
    const StepPermits &known = this->steps[stepOf(request)];
    request.permitted.emplace();
    std::size_t covered = 0;
    std::vector<std::size_t> unknown;
    for (std::size_t i = 0; i < workers.size(); i++) {
        const WorkerView &worker = workers[i];
        if (!mayRun(request, worker) || known.barred.contains(worker.id))
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
    Question question = this->describe(request, terms, workers, unknown, wall);
    const bool first = !this->next || question.rank < this->next->rank
        || (question.rank == this->next->rank && question.objectiveAt < this->next->objectiveAt);
    if (first)
        this->next = std::move(question);
}

/// Workers with most room come first; a step that is bound to a rack asks rack by rack.
PermitBook::Question PermitBook::describe(const StartRequest &request, const PermitTerms &terms,
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
    ordered.resize(std::min(ordered.size(), this->settings.mostAsked));
    Question question;
    question.step = stepOf(request);
    question.terms = terms;
    question.rank = Tasks::StartPlanner::rankOf(request, wall);
    question.objectiveAt = request.objectiveAt;
    for (const Candidate &candidate : ordered) {
        const WorkerView &worker = workers[candidate.worker];
        question.workers.emplace_back(worker.id);
        question.incarnations[std::string(worker.id)] = worker.incarnation;
    }
    return question;
}

void PermitBook::ask(TimePoint now)
{
    std::optional<Question> question = std::exchange(this->next, std::nullopt);
    if (!question || this->asking)
        return;
    this->asking = true;
    const auto count = static_cast<Duration::rep>(question->workers.size());
    const Duration timeout
        = question->terms.base + question->terms.perWorker * count + this->settings.answerSlack;
    const auto handler = [this, asked = *question, sentAt = now, generation = this->generation](
                             const PlacementAnswer &answer, TimePoint at) {
        if (generation == this->generation)
            this->answered(asked, answer, sentAt, at);
    };
    this->service.requestPermits(question->step, question->workers, timeout, handler);
}

void PermitBook::answered(const Question &question, const PlacementAnswer &answer, TimePoint sentAt,
                          TimePoint now)
{
    this->asking = false;
    const bool known = answer.outcome == PlacementOutcome::Answered;
    this->journal.tell(LogKind::Task, known ? "placement told" : "placement not told",
                       {{"request", question.step.job},
                        {"step", question.step.step},
                        {"asked", question.workers.size()},
                        {"permitted", answer.permits.size()},
                        {"tookMs", toMs(now - sentAt)}},
                       now);
    if (!known) {
        this->timers.after(this->settings.retry,
                           [this, generation = this->generation](TimePoint at) {
                               if (generation == this->generation)
                                   this->changed(at);
                           });
        return;
    }
    StepPermits &step = this->steps[question.step];
    step.barred.insert(question.workers.begin(), question.workers.end());
    for (const Tasks::PlacementPermit &permit : answer.permits) {
        const auto asked = question.incarnations.find(permit.worker);
        if (asked == question.incarnations.end())
            continue;
        step.barred.erase(permit.worker);
        // The service's own clock starts later than ours, so this end is not too late.
        step.permits[permit.worker]
            = {permit.permit, asked->second, sentAt + question.terms.validity};
    }
    this->changed(now);
}

std::string PermitBook::permitOf(const StepRef &step, std::string_view worker, TimePoint now) const
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return {};
    const auto permit = known->second.permits.find(worker);
    const bool valid = permit != known->second.permits.end() && now < permit->second.validUntil;
    return valid ? permit->second.text : std::string();
}

void PermitBook::drop(const StepRef &step, std::string_view worker)
{
    const auto known = this->steps.find(step);
    if (known == this->steps.end())
        return;
    const auto permit = known->second.permits.find(worker);
    if (permit != known->second.permits.end())
        known->second.permits.erase(permit);
}

void PermitBook::forget(std::string_view job)
{
    const auto first = this->steps.lower_bound({std::string(job), 0, 0});
    auto last = first;
    while (last != this->steps.end() && last->first.job == job)
        ++last;
    this->steps.erase(first, last);
}

} // namespace Hibiscus::Coordination
