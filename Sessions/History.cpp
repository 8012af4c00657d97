#include <Sessions/History.h>

#include <array>
#include <cstdio>

namespace Hibiscus {

namespace {

constexpr Duration healingLimit = seconds(240);

std::string asSeconds(TimePoint time)
{
    return std::to_string(std::chrono::duration<double>(time.time_since_epoch()).count());
}

} // namespace

History::History(const Settings &settings)
    : settings(settings)
    , random(settings.seed)
    , cluster(SimulatedCluster::twoDataCenters(2, 2))
{
    if (!settings.trace)
        return;
    this->cluster.messageObserver
        = [this](const std::string &from, const std::string &to, const std::string &text) {
              std::printf("%s %s -> %s: %s\n", asSeconds(this->cluster.now()).c_str(), from.c_str(),
                          to.c_str(), text.c_str());
          };
}

std::uint32_t History::draw(std::uint32_t bound)
{
    return this->random(bound);
}

template <class Range>
const auto &History::pick(const Range &range)
{
    return range[this->draw(static_cast<std::uint32_t>(range.size()))];
}

std::string History::anyInstance()
{
    static const std::vector<std::string> names{"entry-a0", "entry-a1", "entry-b0", "entry-b1"};
    return this->pick(names);
}

std::string History::anyLiveInstance()
{
    std::string name = this->anyInstance();
    for (unsigned tries = 0; !this->cluster.isAlive(name) && tries < 16; ++tries)
        name = this->anyInstance();
    return name;
}

std::string History::anyWorker()
{
    static const std::vector<std::string> names{"worker-a0", "worker-a1", "worker-b0", "worker-b1"};
    return this->pick(names);
}

void History::run()
{
    Customer parks;
    parks.name = "parks";
    Customer spa;
    spa.name = "spa";
    this->cluster.configure({parks, spa});
    static constexpr std::array<Step, 22> steps{
        &History::stepSubmit,
        &History::stepSubmit,
        &History::stepSubmit,
        &History::stepSubmit,
        &History::stepSubmit,
        &History::stepSubmit,
        &History::stepResubmit,
        &History::stepResubmit,
        &History::stepCancel,
        &History::stepKill,
        &History::stepRestart,
        &History::stepRestart,
        &History::stepPause,
        &History::stepResume,
        &History::stepPartition,
        &History::stepPartition,
        &History::stepHeal,
        &History::stepToggleStore,
        &History::stepKillWorker,
        &History::stepLoseWorkerAnswers,
        &History::stepLoseStoreAnswers,
        &History::stepChangePreset,
    };
    for (unsigned i = 0; i < this->settings.steps && this->violationTexts.empty(); ++i) {
        (this->*this->pick(steps))();
        this->cluster.run(milliseconds(this->draw(700)));
        this->checkRequests();
    }
    this->heal();
    this->awaitFinalAnswers();
}

void History::stepSubmit()
{
    Request request;
    JobSpec &spec = request.spec;
    spec.requestId = "r" + std::to_string(this->requests.size());
    spec.customer = this->draw(2) == 0 ? "parks" : "spa";
    spec.caller = "key";
    spec.kind = "kind";
    spec.urgency = static_cast<UrgencyClass>(this->draw(urgencyClassCount));
    spec.idempotent = this->draw(2) == 0;
    static const std::vector<std::uint16_t> sizes{0, 1, 1, 4, 16};
    spec.accelerators = this->pick(sizes);
    request.members = spec.accelerators > 8 ? 2 : 1;
    spec.declaredRunTime = milliseconds(50 + this->draw(1500));
    spec.payload = "{\"ticket\":\"" + spec.requestId + "\"}";
    request.wait = this->draw(2) == 0;
    this->requests.push_back(std::move(request));
    this->submit(this->requests.back(), this->anyLiveInstance());
}

void History::submit(Request &request, const std::string &instance)
{
    if (!this->cluster.isAlive(instance))
        return;
    const bool retry = !request.sent.empty();
    request.sent.push_back(this->cluster.now());
    request.calls.push_back(this->cluster.submit(instance, request.spec, request.wait, retry));
}

void History::stepResubmit()
{
    if (!this->requests.empty())
        this->submit(this->requests[this->draw(static_cast<std::uint32_t>(this->requests.size()))],
                     this->anyLiveInstance());
}

void History::stepCancel()
{
    const std::string instance = this->anyLiveInstance();
    if (this->requests.empty() || !this->cluster.isAlive(instance))
        return;
    Request &request
        = this->requests[this->draw(static_cast<std::uint32_t>(this->requests.size()))];
    request.cancelled = true;
    request.calls.push_back(
        this->cluster.cancel(instance, request.spec.customer, request.spec.requestId));
}

void History::stepKill()
{
    this->cluster.kill(this->anyInstance());
}

void History::stepRestart()
{
    const std::string name = this->anyInstance();
    if (!this->cluster.isAlive(name))
        this->cluster.restart(name);
}

void History::stepPause()
{
    this->cluster.pause(this->anyInstance());
}

void History::stepResume()
{
    this->cluster.resume(this->anyInstance());
}

void History::stepPartition()
{
    const std::uint32_t kind = this->draw(3);
    const std::string one = this->anyInstance();
    const std::string other = kind == 0 ? this->anyInstance()
        : kind == 1                     ? std::string("store")
                                        : this->anyWorker();
    if (one != other)
        this->cluster.partition(one, other);
}

void History::stepHeal()
{
    this->cluster.healAll();
}

void History::stepToggleStore()
{
    this->cluster.setStoreDown(!this->cluster.store().faults().down);
}

void History::stepLoseStoreAnswers()
{
    this->cluster.loseStoreAnswers(1 + this->draw(3));
}

void History::stepKillWorker()
{
    const std::string name = this->anyWorker();
    this->cluster.killWorker(name);
    this->cluster.restartWorker(name);
}

void History::stepLoseWorkerAnswers()
{
    WorkerFaults faults;
    faults.loseAnswers = 1 + this->draw(4);
    this->cluster.worker(this->anyWorker()).setFaults(faults);
}

void History::stepChangePreset()
{
    const std::string instance = this->anyLiveInstance();
    if (!this->cluster.isAlive(instance))
        return;
    Preset preset;
    preset.name = "ordinary";
    preset.classes[0].queuedPerCustomer = 100 + this->draw(100);
    const std::string id = "change-" + std::to_string(this->changes++);
    this->cluster.change(instance, {id, "test", {}, PutPreset{preset}});
}

void History::heal()
{
    this->cluster.healAll();
    this->cluster.setStoreDown(false);
    this->cluster.loseStoreAnswers(0);
    for (const char *name : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
        if (this->cluster.isAlive(name))
            this->cluster.resume(name);
        else
            this->cluster.restart(name);
    }
    for (const char *name : {"worker-a0", "worker-a1", "worker-b0", "worker-b1"})
        this->cluster.worker(name).setFaults({});
    this->cluster.run(std::chrono::seconds(5));
    this->checkRequests();
}

void History::awaitFinalAnswers()
{
    const TimePoint end = this->cluster.now() + healingLimit;
    for (;;) {
        bool open = false;
        for (Request &request : this->requests) {
            if (request.finalAnswer)
                continue;
            open = true;
            this->submit(request, this->anyLiveInstance());
        }
        if (!open || !this->violationTexts.empty())
            return;
        if (this->cluster.now() > end)
            break;
        this->cluster.run(milliseconds(1500));
        this->checkRequests();
    }
    for (const Request &request : this->requests) {
        if (!request.finalAnswer)
            this->addViolation("no final answer to request " + request.spec.requestId);
    }
}

void History::checkRequests()
{
    for (Request &request : this->requests) {
        for (const CallId call : request.calls) {
            const auto answered = this->cluster.answer(call);
            if (answered)
                this->checkAnswer(request, *answered);
        }
        std::erase_if(request.calls,
                      [&](CallId call) { return this->cluster.answer(call).has_value(); });
        const std::string key = jobKey(request.spec.customer, request.spec.requestId);
        const std::uint32_t starts = this->cluster.startCount(key);
        if (!request.spec.idempotent && starts > request.members)
            this->addViolation(key + " may run only once but was started " + std::to_string(starts)
                               + " times");
        if (request.notRunSince && starts > 0)
            this->addViolation(key + " was started after a final answer not-run");
    }
    this->checkRevisions();
}

void History::checkRefusal(Request &request, const SimulatedCluster::ReceivedAnswer &answered)
{
    const std::string key = jobKey(request.spec.customer, request.spec.requestId);
    const std::optional<TimePoint> started = this->cluster.firstStartTime(key);
    // A refusal that is recorded nowhere applies only to its own call. If the caller had submitted
    // the request again before the refusal came, it knows that the other call may have run.
    const bool otherCall = request.sent.size() > 1 && request.sent[1] <= answered.at;
    const bool appliesToCallOnly = answered.answer.retryAfter && otherCall;
    if (started && *started <= answered.at && !appliesToCallOnly)
        this->addViolation(key + " was answered not-run (" + answered.answer.reason
                           + ") but was started");
    // A refusal without a retry delay is final for the request, for all callers.
    if (answered.answer.retryAfter)
        return;
    request.finalAnswer = answered.answer;
    request.notRunSince = answered.at;
}

void History::checkAnswer(Request &request, const SimulatedCluster::ReceivedAnswer &answered)
{
    const JobAnswer &answer = answered.answer;
    const std::string key = jobKey(request.spec.customer, request.spec.requestId);
    const std::uint32_t starts = this->cluster.startCount(key);
    if (!isFinal(answer.status))
        return;
    if (answer.status == JobStatus::NotRun && !request.spec.idempotent) {
        this->checkRefusal(request, answered);
        return;
    }
    if (answer.status == JobStatus::Done && starts == 0)
        this->addViolation(key + " was answered done but never started");
    const std::string ticket = "\\\"ticket\\\":\\\"" + request.spec.requestId + "\\\"";
    const bool hasOwnTicket = answer.result.find(ticket) != std::string::npos
        || answer.result.find(request.spec.requestId) != std::string::npos;
    if (answer.status == JobStatus::Done && !hasOwnTicket)
        this->addViolation(key + " got the result of another request: " + answer.result);
    // A refusal with a retry delay asks the caller to retry; every other answer is final.
    const bool refusal = answer.status == JobStatus::NotRun && answer.retryAfter.has_value();
    if (refusal)
        return;
    const bool differs = request.finalAnswer && request.finalAnswer->status != answer.status;
    if (differs && !request.spec.idempotent)
        this->addViolation(key + " was answered " + toString(request.finalAnswer->status)
                           + " and then " + toString(answer.status));
    request.finalAnswer = answer;
}

void History::checkRevisions()
{
    for (const char *name : {"entry-a0", "entry-a1", "entry-b0", "entry-b1"}) {
        EntryMachine *machine = this->cluster.machine(name);
        auto &[before, revision] = this->revisions[name];
        const std::uint64_t present = machine ? machine->configuration().revision : 0;
        if (machine && machine == before && present < revision)
            this->addViolation(std::string(name) + " went back to configuration revision "
                               + std::to_string(present));
        before = machine;
        revision = present;
    }
}

void History::addViolation(const std::string &text)
{
    this->violationTexts.push_back("seed " + std::to_string(this->settings.seed) + " at "
                                   + asSeconds(this->cluster.now()) + ": " + text);
}

} // namespace Hibiscus
