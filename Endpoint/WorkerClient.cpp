#include <Endpoint/WorkerClient.h>

#include <httplib.h>

namespace Hibiscus {

namespace {

constexpr const char *workerPath = "/v1/worker";
constexpr const char *jsonType = "application/json";
constexpr int httpOk = 200;

/// Connecting may take this share of a call's timeout, waiting for the answer the rest.
constexpr int connectShare = 4;

WorkerReply failedReply(WorkerStatus status)
{
    WorkerReply reply;
    reply.status = status;
    return reply;
}

/// Only an error in making the connection proves that no byte of the request went out.
WorkerStatus statusOf(httplib::Error error)
{
    const bool unconnected
        = error == httplib::Error::Connection || error == httplib::Error::ConnectionTimeout;
    return unconnected ? WorkerStatus::NotDelivered : WorkerStatus::NoAnswer;
}

} // namespace

struct WorkerClient::Data
{
    explicit Data(const Settings &settings)
        : settings(settings)
        , http(settings.host, settings.port)
    {
        const Duration connecting = settings.timeout / connectShare;
        this->http.set_keep_alive(true);
        this->http.set_tcp_nodelay(true);
        this->http.set_connection_timeout(connecting);
        this->http.set_write_timeout(connecting);
    }

    Duration answerTimeout(const WorkerRequest &request) const
    {
        const Duration answering = this->settings.timeout - this->settings.timeout / connectShare;
        return request.verb == WorkerVerb::Collect ? answering + request.wait : answering;
    }

    Settings settings;
    httplib::Client http;
};

WorkerClient::WorkerClient(const Settings &settings)
    : data(std::make_unique<Data>(settings))
{}

WorkerClient::~WorkerClient() = default;
WorkerClient::WorkerClient(WorkerClient &&) noexcept = default;
WorkerClient &WorkerClient::operator=(WorkerClient &&) noexcept = default;

WorkerReply WorkerClient::execute(const WorkerRequest &request)
{
    try {
        const std::string body = toJson(request);
        this->data->http.set_read_timeout(this->data->answerTimeout(request));
        const httplib::Result result = this->data->http.Post(workerPath, body, jsonType);
        if (!result)
            return failedReply(statusOf(result.error()));
        if (result->status != httpOk)
            return failedReply(WorkerStatus::NoAnswer);
        const tl::expected<WorkerReply, Findings> reply = parseWorkerReply(result->body);
        return reply ? *reply : failedReply(WorkerStatus::NoAnswer);
    } catch (const std::exception &) {
        return failedReply(WorkerStatus::NoAnswer);
    }
}

} // namespace Hibiscus
