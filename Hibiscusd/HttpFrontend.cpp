#include <Hibiscusd/HttpFrontend.h>

#include <Config/ConfigurationJson.h>
#include <Config/RequestJson.h>
#include <Entry/StatusPage.h>
#include <Hibiscusd/BoundedTaskQueue.h>
#include <Hibiscusd/Log.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace {

constexpr const char *component = "http";
constexpr const char *jsonType = "application/json";
constexpr const char *textType = "text/plain; version=0.0.4";

/// Time limit for an answer, somewhat longer than the entry machine holds a call.
constexpr Duration answerLimit = seconds(70);
constexpr Duration pageLimit = seconds(5);
constexpr std::size_t operatorThreads = 4;
constexpr std::size_t healthThreads = 2;
constexpr std::size_t queuedForEachThread = 8;
constexpr std::size_t smallBody = std::size_t(256) * 1024; ///< Bytes.
/// An idle keep-alive connection holds a thread for this long.
constexpr time_t idleConnectionSeconds = 5;
constexpr time_t readTimeoutSeconds = 5; ///< Time limit between two parts of one request.

enum HttpStatus {
    Ok = 200,
    Accepted = 202,
    BadRequest = 400,
    Unauthorized = 401,
    Forbidden = 403,
    NotFound = 404,
    Conflict = 409,
    TooManyRequests = 429,
    Unavailable = 503,
};

int httpStatus(const JobAnswer &answer)
{
    switch (answer.status) {
    case JobStatus::Unknown:
        return NotFound;
    case JobStatus::Accepted:
    case JobStatus::Running:
        return Accepted;
    case JobStatus::NotRun:
        return answer.retryAfter ? TooManyRequests : Ok;
    default:
        return Ok;
    }
}

int httpStatus(ChangeStatus status)
{
    switch (status) {
    case ChangeStatus::Accepted:
        return Ok;
    case ChangeStatus::Invalid:
        return BadRequest;
    case ChangeStatus::Conflict:
        return Conflict;
    case ChangeStatus::Unavailable:
        return Unavailable;
    }
    return Unavailable;
}

const char *toString(ChangeStatus status)
{
    constexpr std::array names{"accepted", "invalid", "conflict", "unavailable"};
    return names.at(static_cast<std::size_t>(status));
}

nlohmann::json findingsToJson(const Findings &findings)
{
    nlohmann::json list = nlohmann::json::array();
    for (const Finding &finding : findings.all())
        list.push_back({{"place", finding.location}, {"message", finding.message}});
    return list;
}

std::string dump(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void writeFindings(const Findings &findings, const char *status, httplib::Response &response)
{
    response.status = BadRequest;
    response.set_content(
        dump({{"status", status}, {"revision", 0}, {"findings", findingsToJson(findings)}}),
        jsonType);
}

void writeReason(int status, const char *reason, httplib::Response &response)
{
    response.status = status;
    response.set_content(dump({{"reason", reason}}), jsonType);
}

std::string retryAfterSeconds(Duration wait)
{
    const auto whole = std::chrono::ceil<std::chrono::seconds>(wait);
    return std::to_string(std::max<std::int64_t>(whole.count(), 1));
}

Duration requestedWait(const httplib::Request &request)
{
    if (!request.has_param("waitMs"))
        return Duration::zero();
    const std::string text = request.get_param_value("waitMs");
    std::int64_t wait = 0;
    std::from_chars(text.data(), text.data() + text.size(), wait);
    return milliseconds(std::clamp<std::int64_t>(wait, 0, 60000));
}

} // namespace

HttpFrontend::HttpFrontend(const InstanceSettings &settings, EntrySharedState &shared,
                           EntryProcess &process)
    : settings(settings)
    , shared(shared)
    , process(process)
{
    const CallerSettings &callers = settings.callers;
    this->addCallerRoutes(
        this->addListener("callers", callers.address, callers.threads, callers.largestBodyBytes),
        false);
    const UrgentCallerSettings &urgent = settings.urgentCallers;
    this->addCallerRoutes(this->addListener("urgent callers", urgent.address, urgent.threads,
                                            callers.largestBodyBytes),
                          true);
    this->addOperatorRoutes(
        this->addListener("operators", settings.operators, operatorThreads, smallBody));
    this->addHealthRoutes(this->addListener("health", settings.health, healthThreads, smallBody));
}

HttpFrontend::~HttpFrontend()
{
    this->stop();
}

httplib::Server &HttpFrontend::addListener(const std::string &name, const ListenAddress &address,
                                           std::size_t threads, std::size_t largestBody)
{
    Listener listener;
    listener.name = name;
    listener.address = address;
    if (this->settings.tls && name != "health") {
        listener.server = std::make_unique<httplib::SSLServer>(
            this->settings.tls->certificateFile.c_str(), this->settings.tls->keyFile.c_str());
    } else {
        listener.server = std::make_unique<httplib::Server>();
    }
    httplib::Server &server = *listener.server;
    server.new_task_queue
        = [threads] { return new BoundedTaskQueue(threads, threads * queuedForEachThread); };
    server.set_payload_max_length(largestBody);
    server.set_keep_alive_timeout(idleConnectionSeconds);
    server.set_read_timeout(readTimeoutSeconds);
    server.set_tcp_nodelay(true);
    server.set_pre_routing_handler([](const httplib::Request &, httplib::Response &response) {
        if (!BoundedTaskQueue::isRefusing())
            return httplib::Server::HandlerResponse::Unhandled;
        response.status = Unavailable;
        response.set_header("Retry-After", "1");
        response.set_header("Connection", "close");
        response.set_content(dump({{"status", "not-run"},
                                   {"reason", "too many connections; this call was not taken in"},
                                   {"retryAfterMs", 1000}}),
                             jsonType);
        return httplib::Server::HandlerResponse::Handled;
    });
    this->listeners.push_back(std::move(listener));
    return server;
}

httplib::Server::Handler HttpFrontend::route(Handler handler)
{
    return [this, handler](const httplib::Request &request, httplib::Response &response) {
        (this->*handler)(request, response);
    };
}

void HttpFrontend::addCallerRoutes(httplib::Server &server, bool urgentOnly)
{
    server.Post("/v1/jobs", [this, urgentOnly](const auto &request, auto &response) {
        this->submit(request, response, urgentOnly);
    });
    server.Get(R"(/v1/jobs/([A-Za-z0-9._:-]{1,128}))", this->route(&HttpFrontend::poll));
    server.Delete(R"(/v1/jobs/([A-Za-z0-9._:-]{1,128}))", this->route(&HttpFrontend::cancel));
}

void HttpFrontend::addOperatorRoutes(httplib::Server &server)
{
    server.Post("/v1/changes", this->route(&HttpFrontend::change));
    server.Get("/v1/configuration", this->route(&HttpFrontend::configuration));
    server.Get("/v1/status", this->route(&HttpFrontend::status));
    server.Post("/v1/drain", this->route(&HttpFrontend::drain));
}

void HttpFrontend::addHealthRoutes(httplib::Server &server)
{
    server.Get("/live",
               [](const auto &, auto &response) { response.set_content("live\n", "text/plain"); });
    server.Get("/ready", [this](const auto &, auto &response) {
        const bool ready = this->shared.ready;
        response.status = ready ? Ok : Unavailable;
        response.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", this->route(&HttpFrontend::metrics));
}

Findings HttpFrontend::start()
{
    Findings findings;
    for (Listener &listener : this->listeners) {
        const ListenAddress &address = listener.address;
        if (!listener.server->bind_to_port(address.host, address.port)) {
            findings.add(listener.name,
                         "can't listen on " + address.host + " port "
                             + std::to_string(address.port));
            continue;
        }
        listener.thread = std::thread([&server = *listener.server] { server.listen_after_bind(); });
    }
    return findings;
}

void HttpFrontend::stop()
{
    for (Listener &listener : this->listeners)
        listener.server->stop();
    for (Listener &listener : this->listeners) {
        if (listener.thread.joinable())
            listener.thread.join();
    }
}

std::optional<Principal> HttpFrontend::authenticate(const httplib::Request &request,
                                                    httplib::Response &response, Role role)
{
    constexpr std::string_view scheme = "Bearer ";
    const std::string header = request.get_header_value("Authorization");
    std::optional<Principal> principal;
    if (header.starts_with(scheme))
        principal = this->shared.authenticator.authenticate(
            std::string_view(header).substr(scheme.size()));
    if (!principal) {
        response.set_header("WWW-Authenticate", "Bearer");
        writeReason(Unauthorized, "a valid key is needed", response);
        return std::nullopt;
    }
    if (principal->role != role) {
        writeReason(Forbidden, "the key's role does not allow this", response);
        return std::nullopt;
    }
    return principal;
}

void HttpFrontend::submit(const httplib::Request &request, httplib::Response &response,
                          bool urgentOnly)
{
    const auto principal = this->authenticate(request, response, Role::Caller);
    if (!principal)
        return;
    tl::expected<SubmitBody, Findings> body = parseSubmitBody(request.body);
    Findings findings = body ? Findings() : body.error();
    if (body && urgentOnly && body->spec.urgency != UrgencyClass::Urgent)
        findings.add("/urgency", "this listener takes urgent requests only");
    if (!findings.isEmpty())
        return writeFindings(findings, "invalid", response);
    body->spec.customer = principal->customer;
    body->spec.caller = principal->keyName;
    const std::string requestId = body->spec.requestId;
    auto ticket = this->shared.callers.open();
    this->process.post({[call = ticket.call, body = std::move(*body)](
                            EntryMachine &machine, TimePoint now, EntryActions &out) {
        machine.submit(call, body, now, out);
    }});
    this->writeAnswer(ticket, requestId, response);
    // NotFound answers a poll for an unknown request. A submission with an unknown outcome has to
    // be retried instead.
    if (response.status == NotFound)
        response.status = Unavailable;
}

void HttpFrontend::poll(const httplib::Request &request, httplib::Response &response)
{
    const auto principal = this->authenticate(request, response, Role::Caller);
    if (!principal)
        return;
    const std::string requestId = request.matches[1];
    auto ticket = this->shared.callers.open();
    this->process.post(
        {[call = ticket.call, customer = principal->customer, requestId,
          wait = requestedWait(request)](EntryMachine &machine, TimePoint now, EntryActions &out) {
            machine.poll(call, customer, requestId, wait, now, out);
        }});
    this->writeAnswer(ticket, requestId, response);
}

void HttpFrontend::cancel(const httplib::Request &request, httplib::Response &response)
{
    const auto principal = this->authenticate(request, response, Role::Caller);
    if (!principal)
        return;
    const std::string requestId = request.matches[1];
    auto ticket = this->shared.callers.open();
    this->process.post({[call = ticket.call, customer = principal->customer,
                         requestId](EntryMachine &machine, TimePoint now, EntryActions &out) {
        machine.cancel(call, customer, requestId, now, out);
    }});
    this->writeAnswer(ticket, requestId, response);
}

void HttpFrontend::writeAnswer(CallTable<CallerAnswer>::Ticket &ticket,
                               const std::string &requestId, httplib::Response &response)
{
    std::optional<CallerAnswer> answer = this->shared.callers.wait(ticket, answerLimit);
    if (!answer) {
        answer = CallerAnswer{ticket.call, requestId, {}};
        answer->answer.reason = "no answer yet; ask again with the same request id";
    }
    response.status = httpStatus(answer->answer);
    if (answer->answer.retryAfter)
        response.set_header("Retry-After", retryAfterSeconds(*answer->answer.retryAfter));
    response.set_content(toJson(AnswerBody{requestId, std::move(answer->answer)}), jsonType);
}

void HttpFrontend::change(const httplib::Request &request, httplib::Response &response)
{
    const auto principal = this->authenticate(request, response, Role::Operator);
    if (!principal)
        return;
    const tl::expected<ConfigChange, Findings> change
        = parseConfigChange(request.body, principal->keyName);
    if (!change)
        return writeFindings(change.error(), "invalid", response);
    auto ticket = this->shared.changes.open();
    this->process.post({[call = ticket.call, change = *change](EntryMachine &machine, TimePoint now,
                                                               EntryActions &out) {
        machine.change(call, change, now, out);
    }});
    const ChangeReply reply
        = this->shared.changes.wait(ticket, answerLimit).value_or(ChangeReply{});
    response.status = httpStatus(reply.status);
    response.set_content(dump({{"status", toString(reply.status)},
                               {"revision", reply.revision},
                               {"findings", findingsToJson(reply.findings)}}),
                         jsonType);
}

void HttpFrontend::writePage(std::function<std::string(const EntryMachine &, TimePoint)> render,
                             const char *type, httplib::Response &response)
{
    auto ticket = this->shared.pages.open();
    EntrySharedState &table = this->shared;
    this->process.post({[call = ticket.call, render = std::move(render),
                         &table](EntryMachine &machine, TimePoint now, EntryActions &) {
        table.pages.answer(call, render(machine, now));
    }});
    const std::optional<std::string> page = this->shared.pages.wait(ticket, pageLimit);
    if (!page)
        return writeReason(Unavailable, "the instance is too busy", response);
    response.set_content(*page, type);
}

void HttpFrontend::configuration(const httplib::Request &request, httplib::Response &response)
{
    if (!this->authenticate(request, response, Role::Operator))
        return;
    const auto render
        = [](const EntryMachine &machine, TimePoint) { return toJson(machine.configuration()); };
    this->writePage(render, jsonType, response);
}

void HttpFrontend::status(const httplib::Request &request, httplib::Response &response)
{
    if (!this->authenticate(request, response, Role::Operator))
        return;
    const auto render = [](const EntryMachine &machine, TimePoint now) {
        return statusToJson(machine.status(now));
    };
    this->writePage(render, jsonType, response);
}

void HttpFrontend::metrics(const httplib::Request &, httplib::Response &response)
{
    const auto render = [](const EntryMachine &machine, TimePoint now) {
        return metricsToText(machine.status(now), machine.callMetrics());
    };
    this->writePage(render, textType, response);
}

void HttpFrontend::drain(const httplib::Request &request, httplib::Response &response)
{
    if (!this->authenticate(request, response, Role::Operator))
        return;
    writeLog(LogLevel::Info, component, "An operator requested a drain.");
    this->process.post(
        {[](EntryMachine &machine, TimePoint now, EntryActions &out) { machine.drain(now, out); }});
    writeReason(Accepted, "draining", response);
}

} // namespace Hibiscus
