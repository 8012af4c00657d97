#include <Endpoint/WorkerClient.h>
#include <Gateway/JsonFields.h>
#include <StandIns/StandInWorkerServer.h>

#include <array>
#include <cstdlib>

namespace Hibiscus {

namespace {

constexpr int httpNoContent = 204;

/// Maximum time between two checks for reports while a Collect waits.
constexpr milliseconds collectPollInterval{1000};

constexpr std::array<JsonField<WorkerFaults>, 7> faultFields{{
    {"failEverything", &WorkerFaults::failEverything},
    {"hang", &WorkerFaults::hang},
    {"loseAnswers", &WorkerFaults::loseAnswers},
    {"lateMs", &WorkerFaults::lateMs},
    {"crossed", &WorkerFaults::crossed},
    {"die", &WorkerFaults::die},
    {"leaving", &WorkerFaults::leaving},
}};

} // namespace

StandInWorkerServer::StandInWorkerServer(const Settings &settings)
    : settings(settings)
    , worker(settings.worker)
    , http(settings.connections, settings.idleTimeout)
{
    if (!settings.runLogFile.empty())
        this->runLogFile.open(settings.runLogFile, std::ios::app);
    this->addRoutes();
}

StandInWorkerServer::~StandInWorkerServer()
{
    this->stop();
}

std::optional<std::uint16_t> StandInWorkerServer::start()
{
    return this->http.listen(this->settings.host, this->settings.port);
}

void StandInWorkerServer::stop()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->changed.notify_all();
    this->http.stop();
}

void StandInWorkerServer::setFaults(const WorkerFaults &faults)
{
    if (faults.die)
        std::_Exit(EXIT_FAILURE);
    {
        const std::scoped_lock lock(this->mutex);
        this->worker.setFaults(faults);
    }
    this->changed.notify_all();
}

void StandInWorkerServer::addRoutes()
{
    httplib::Server &routes = this->http.routes();
    routes.Post("/v1/worker", [this](const httplib::Request &http, httplib::Response &response) {
        this->serveWorker(http, response);
    });
    routes.Get("/v1/runs", [this](const httplib::Request &, httplib::Response &response) {
        const std::scoped_lock lock(this->mutex);
        this->worker.advance(steadyNow());
        this->writeRunLog();
        sendJson(response, this->worker.runLog().toJson());
    });
    routes.Post("/v1/faults", [this](const httplib::Request &http, httplib::Response &response) {
        this->serveFaults(http, response);
    });
    routes.Get("/v1/faults", [this](const httplib::Request &, httplib::Response &response) {
        const std::scoped_lock lock(this->mutex);
        const WorkerFaults &faults = this->worker.faults();
        sendJson(response, jsonText(writeFields<WorkerFaults>(faultFields, faults)));
    });
}

void StandInWorkerServer::serveWorker(const httplib::Request &http, httplib::Response &response)
{
    const tl::expected<WorkerRequest, Findings> request = parseWorkerRequest(http.body);
    if (!request)
        return sendFindings(response, request.error());
    const WorkerReply reply = this->execute(*request);
    if (reply.status == WorkerStatus::NoAnswer)
        return abortResponse(response);
    sendJson(response, toJson(reply));
}

WorkerReply StandInWorkerServer::execute(const WorkerRequest &request)
{
    std::unique_lock lock(this->mutex);
    WorkerReply reply = this->worker.execute(request, steadyNow());
    // The run log is written before the reply is sent, so that no start is lost if the process dies
    // in between.
    this->writeRunLog();
    if (request.verb == WorkerVerb::Collect)
        this->waitForReports(request, reply, lock);
    else
        this->changed.notify_all();
    return reply;
}

void StandInWorkerServer::waitForReports(const WorkerRequest &request, WorkerReply &reply,
                                         std::unique_lock<std::mutex> &lock)
{
    TimePoint now = steadyNow();
    const TimePoint deadline = now + request.wait;
    while (reply.status == WorkerStatus::Ok && reply.reports.empty() && now < deadline
           && !this->stopping) {
        TimePoint wakeTime = std::min(deadline, now + collectPollInterval);
        const std::optional<TimePoint> nextEvent = this->worker.nextEvent(now);
        if (nextEvent)
            wakeTime = std::min(wakeTime, *nextEvent);
        this->changed.wait_for(lock, wakeTime - now);
        now = steadyNow();
        reply = this->worker.execute(request, now);
        this->writeRunLog();
    }
}

void StandInWorkerServer::serveFaults(const httplib::Request &http, httplib::Response &response)
{
    Findings findings;
    WorkerFaults faults;
    {
        const std::scoped_lock lock(this->mutex);
        faults = this->worker.faults();
    }
    const nlohmann::json document = parseJson(http.body, findings);
    if (findings.isEmpty())
        readFields<WorkerFaults>(document, faultFields, faults, "", findings);
    if (!findings.isEmpty())
        return sendFindings(response, findings);
    this->setFaults(faults);
    response.status = httpNoContent;
}

void StandInWorkerServer::writeRunLog()
{
    for (const std::string &line : this->worker.runLog().takeLines())
        this->runLogFile << line << '\n';
    this->runLogFile.flush();
}

} // namespace Hibiscus
