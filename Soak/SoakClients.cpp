#include <Soak/SoakClients.h>
#include <Soak/StandInWire.h>

#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Hibiscus::Soak {

namespace http = boost::beast::http;
using Runtime::HttpCall;
using Runtime::HttpClient;
using Runtime::HttpResult;

namespace {

constexpr Duration revocationBound = seconds(5);

/// Properties of a random job; most jobs are small and short.
struct JobShape
{
    std::int32_t tasks = 1;
    std::int32_t accelerators = 1;
    std::int32_t runMs = 500;
    bool gang = false;
    bool fails = false;
    bool checkpoints = false;
};

struct RunTimeRange
{
    std::uint32_t minMs;
    std::uint32_t maxMs;
};
constexpr RunTimeRange shortRuns{30, 230};
constexpr RunTimeRange usualRuns{200, 1400};
constexpr RunTimeRange longRuns{3000, 6000};

/// See SoakClients::Settings::variedRunTimes.
std::int32_t drawVariedRunMs(pcg32 &random)
{
    static constexpr RunTimeRange ranges[]
        = {shortRuns, shortRuns, usualRuns, usualRuns, usualRuns, longRuns};
    const RunTimeRange &range = ranges[random(std::size(ranges))];
    return static_cast<std::int32_t>(range.minMs + random(range.maxMs - range.minMs));
}

JobShape drawShape(pcg32 &random, bool variedRunTimes)
{
    JobShape shape;
    shape.tasks = 1 + static_cast<std::int32_t>(random(5));
    shape.accelerators = 1 << random(4);
    shape.runMs
        = variedRunTimes ? drawVariedRunMs(random) : 200 + static_cast<std::int32_t>(random(1800));
    shape.gang = random(3) == 0;
    shape.fails = random(20) == 0;
    shape.checkpoints = random(2) == 0;
    return shape;
}

std::string payloadOf(const JobShape &shape)
{
    std::string payload = std::to_string(shape.runMs);
    if (shape.fails)
        payload += ",fail";
    if (shape.gang)
        payload += ",gang=" + std::to_string(shape.tasks);
    return payload;
}

} // namespace

SoakClients::SoakClients(boost::asio::io_context &loop, SoakSite &site, std::uint64_t seed,
                         const Settings &settings)
    : loop(loop)
    , site(site)
    , settings(settings)
    , random(seed)
{
    constexpr std::size_t maxIdleConnections = 8;
    for (std::size_t i = 0; i < site.instanceCount(); i++)
        this->instances.push_back(std::make_unique<HttpClient>(
            loop, site.callersAddress(i),
            HttpClient::Settings{.maxIdleConnections = maxIdleConnections}));
}

void SoakClients::start()
{
    this->submitNext();
}

void SoakClients::switchKey(const std::string &newKey, TimePoint now)
{
    if (!this->key.empty())
        this->revoked.emplace(this->key, now);
    this->key = newKey;
}

void SoakClients::schedule(Duration delay, std::function<void()> step)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(this->loop, delay);
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error)
            step();
    });
}

HttpClient &SoakClients::drawInstance()
{
    return *this->instances[this->random(static_cast<std::uint32_t>(this->instances.size()))];
}

HttpCall SoakClients::makeCall(const ClientJob &job, http::verb verb) const
{
    HttpCall call{.verb = verb, .target = job.path};
    call.headers.push_back({"Host", configurationHost});
    call.headers.push_back({"Authorization", "Bearer " + job.key});
    call.headers.push_back({"Deadline-Ms", std::to_string(toMs(this->settings.timeout))});
    if (verb == http::verb::post) {
        call.body = job.body;
        // The client has to know of each attempt without an answer.
        call.repeatable = false;
    }
    return call;
}

void SoakClients::submitNext()
{
    if (this->submissionsStopped)
        return;
    std::size_t unfinished = 0;
    for (const auto &[id, job] : this->jobs)
        unfinished += job->outcome == Outcome::Accepted && !isFinal(job->state) ? 1 : 0;
    if (unfinished < this->settings.maxUnfinishedJobs) {
        const JobShape shape = drawShape(this->random, this->settings.variedRunTimes);
        auto job = std::make_unique<ClientJob>();
        char id[17];
        std::snprintf(id, sizeof(id), "%016zx", ++this->number);
        job->id = id;
        job->path = "/p" + std::to_string(this->random(3)) + "/" + job->id;
        job->body = encodeJob(payloadOf(shape), shape.tasks, shape.accelerators, shape.gang,
                              shape.checkpoints);
        job->key = this->key;
        job->tasks = shape.tasks;
        job->fails = shape.fails;
        ClientJob &added = *this->jobs.emplace(job->id, std::move(job)).first->second;
        this->submit(added);
    }
    this->schedule(this->settings.submitInterval, [this] { this->submitNext(); });
}

void SoakClients::submit(ClientJob &job)
{
    job.attempts++;
    this->drawInstance().call(this->makeCall(job, http::verb::post), this->settings.timeout,
                              [this, &job, sentAt = this->site.now()](const HttpResult &result) {
                                  this->handleSubmitReply(job, result, sentAt);
                              });
}

void SoakClients::handleSubmitReply(ClientJob &job, const HttpResult &result, TimePoint sentAt)
{
    if (result.status == 200) {
        const auto revocation = this->revoked.find(job.key);
        // A repeated submission of an accepted job is accepted even after the key was revoked, so
        // only jobs without an unanswered attempt are checked.
        const bool isViolation = revocation != this->revoked.end()
            && sentAt > revocation->second + revocationBound && !job.hasUnansweredAttempt;
        if (isViolation)
            this->violations.push_back(job.id + " was accepted with a revoked key");
        job.outcome = Outcome::Accepted;
        this->schedule(this->settings.statePoll, [this, &job] { this->pollState(job); });
        if (this->random(static_cast<std::uint32_t>(this->settings.cancelOneOf)) == 0)
            this->schedule(this->settings.statePoll, [this, &job] { this->cancel(job); });
        return;
    }
    const bool notRun = result.status == 503 || result.status == 429 || result.status == 401;
    if (notRun && !job.hasUnansweredAttempt) {
        job.outcome = Outcome::Refused;
        return;
    }
    if (notRun) {
        this->giveUp(job);
        return;
    }
    if (result.status != 0 && result.status != 502 && result.status != 504)
        this->violations.push_back(job.id + " was answered with status "
                                   + std::to_string(result.status));
    job.hasUnansweredAttempt = true;
    const bool givesUp = job.attempts >= this->settings.maxAttempts
        || this->random(static_cast<std::uint32_t>(this->settings.giveUpOneOf)) == 0;
    if (givesUp)
        this->giveUp(job);
    else
        this->submit(job);
}

void SoakClients::giveUp(ClientJob &job)
{
    job.outcome = Outcome::Unknown;
    this->cancel(job);
}

void SoakClients::pollState(ClientJob &job)
{
    ClientJob request = job;
    request.key = this->key;
    this->drawInstance().call(this->makeCall(request, http::verb::get), this->settings.timeout,
                              [this, &job](const HttpResult &result) {
                                  this->handleStateReply(job, result);
                                  if (!isFinal(job.state))
                                      this->schedule(this->settings.statePoll,
                                                     [this, &job] { this->pollState(job); });
                              });
}

void SoakClients::handleStateReply(ClientJob &job, const HttpResult &result)
{
    if (result.status == 410)
        this->violations.push_back(job.id + " was accepted but is unknown now");
    if (result.status != 200)
        return;
    const nlohmann::json body = nlohmann::json::parse(result.body, nullptr, false);
    job.state = body.is_object() ? body.value("state", "") : "";
    const bool known = isFinal(job.state) || job.state == "queued" || job.state == "running";
    if (!known)
        this->violations.push_back(job.id + " has the unknown state \"" + job.state + "\"");
    if (job.state == "cancelled" && !job.cancelSent)
        this->violations.push_back(job.id + " is reported as cancelled without a cancellation");
    if (job.state == "failed" && !job.fails)
        this->violations.push_back(job.id + " is reported as failed although its runs succeed");
    if (job.state == "completed" && job.fails)
        this->violations.push_back(job.id + " is reported as completed although its runs fail");
}

void SoakClients::cancel(ClientJob &job)
{
    if (isFinal(job.state))
        return;
    job.cancelSent = true;
    ClientJob request = job;
    request.key = this->key;
    this->drawInstance().call(
        this->makeCall(request, http::verb::delete_), this->settings.timeout,
        [this, &job](const HttpResult &result) { this->handleCancelReply(job, result); });
}

void SoakClients::handleCancelReply(ClientJob &job, const HttpResult &result)
{
    if (result.status == 200) {
        job.cancelled = true;
        this->site.workers.cancelledAt.emplace(job.id, this->site.now());
    }
    if (job.outcome != Outcome::Unknown || job.cancelled)
        return;
    if (result.status == 410)
        job.outcome = Outcome::NeverAccepted;
    else
        this->schedule(this->settings.statePoll, [this, &job] { this->cancel(job); });
}

bool SoakClients::isFinal(const std::string &state)
{
    return state == "completed" || state == "failed" || state == "cancelled";
}

bool SoakClients::allFinished() const
{
    for (const auto &[id, job] : this->jobs) {
        if (job->outcome == Outcome::Pending
            || (job->outcome == Outcome::Accepted && !isFinal(job->state)))
            return false;
    }
    return true;
}

void SoakClients::checkFinalStates()
{
    for (const auto &[id, job] : this->jobs) {
        const std::size_t starts = this->site.workers.startsOf(id);
        if (job->outcome == Outcome::Refused && starts > 0)
            this->violations.push_back(id + " was refused as not run but started");
        if (job->outcome == Outcome::NeverAccepted && starts > 0)
            this->violations.push_back(id + " was cancelled as an unknown job but started");
        if (job->outcome == Outcome::Pending)
            this->violations.push_back(id + " got no answer");
        if (job->outcome == Outcome::Accepted && !isFinal(job->state))
            this->violations.push_back(id + " was accepted and is still \"" + job->state + "\"");
        const bool completed = job->outcome == Outcome::Accepted && job->state == "completed";
        if (completed && starts < static_cast<std::size_t>(job->tasks))
            this->violations.push_back(
                id + " is reported as completed although some tasks never started");
    }
}

std::string SoakClients::summary() const
{
    std::map<std::string, std::size_t> counts;
    for (const auto &[id, job] : this->jobs) {
        static constexpr const char *outcomes[]
            = {"pending", "accepted", "refused", "unknown", "cancelled unknown"};
        counts[outcomes[static_cast<std::size_t>(job->outcome)]]++;
        if (job->outcome == Outcome::Accepted)
            counts[job->state]++;
    }
    std::string text;
    for (const auto &[name, count] : counts)
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    return text;
}

} // namespace Hibiscus::Soak
