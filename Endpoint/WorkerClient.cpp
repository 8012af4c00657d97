#include <Endpoint/WorkerClient.h>
#include <Gateway/HttpConnection.h>

namespace Hibiscus {

namespace {

constexpr const char *workerPath = "/v1/worker";
constexpr int httpOk = 200;

WorkerReply failedReply(WorkerStatus status)
{
    WorkerReply reply;
    reply.status = status;
    return reply;
}

} // namespace

struct WorkerClient::Data
{
    HttpConnection http;
};

WorkerClient::WorkerClient(const Settings &settings)
    : data(std::make_unique<Data>(
        Data{HttpConnection({settings.host, settings.port, settings.timeout})}))
{}

WorkerClient::~WorkerClient() = default;
WorkerClient::WorkerClient(WorkerClient &&) noexcept = default;
WorkerClient &WorkerClient::operator=(WorkerClient &&) noexcept = default;

WorkerReply WorkerClient::execute(const WorkerRequest &request)
{
    const Duration wait = request.verb == WorkerVerb::Collect ? request.wait : Duration::zero();
    const HttpAnswer answer = this->data->http.postJson(workerPath, toJson(request), wait);
    if (answer.outcome == HttpOutcome::NotConnected)
        return failedReply(WorkerStatus::NotDelivered);
    if (answer.outcome != HttpOutcome::Answered || answer.status != httpOk)
        return failedReply(WorkerStatus::NoAnswer);
    const tl::expected<WorkerReply, Findings> reply = parseWorkerReply(answer.body);
    return reply ? *reply : failedReply(WorkerStatus::NoAnswer);
}

} // namespace Hibiscus
