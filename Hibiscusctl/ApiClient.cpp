#include <Hibiscusctl/ApiClient.h>

#include <Hibiscusctl/Outcome.h>

#include <algorithm>
#include <charconv>
#include <httplib.h>
#include <thread>

namespace Hibiscus {
namespace {

using Clock = std::chrono::steady_clock;

constexpr seconds connectTimeout(5);
constexpr seconds answerTimeout(75); // An instance holds a call for up to 70 s.
constexpr milliseconds minRetryDelay(200);
constexpr milliseconds maxRetryDelay(5000);
constexpr const char *jsonType = "application/json";

Duration retryAfterOf(const httplib::Response &response)
{
    const std::string text = response.get_header_value("Retry-After");
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return seconds(std::clamp<std::int64_t>(value, 0, 3600));
}

// Marks a submission as a retry. The server refuses a retry for this call alone, as an earlier call
// may have run.
ApiRequest markAsRetry(ApiRequest request)
{
    auto body = parseSubmitBody(request.body);
    if (!body)
        return request;
    body->retry = true;
    request.body = toJson(*body);
    return request;
}

httplib::Result send(httplib::ClientImpl &client, const ApiRequest &request)
{
    switch (request.method) {
    case HttpMethod::Get:
        return client.Get(request.path);
    case HttpMethod::Delete:
        return client.Delete(request.path);
    case HttpMethod::Post:
        break;
    }
    return client.Post(request.path, request.body, jsonType);
}

} // namespace

struct ApiClient::Data
{
    Command command;
    std::unique_ptr<httplib::ClientImpl> client;
};

ApiClient::ApiClient(const Command &command)
    : data(std::make_unique<Data>())
{
    this->data->command = command;
    if (command.certificateAuthority.empty()) {
        this->data->client = std::make_unique<httplib::ClientImpl>(command.host, command.port);
    } else {
        auto client = std::make_unique<httplib::SSLClient>(command.host, command.port);
        client->set_ca_cert_path(command.certificateAuthority);
        client->enable_server_certificate_verification(true);
        this->data->client = std::move(client);
    }
    this->data->client->set_connection_timeout(connectTimeout);
    this->data->client->set_read_timeout(answerTimeout);
    this->data->client->set_bearer_token_auth(command.key);
}

ApiClient::~ApiClient() = default;

ApiReply ApiClient::run(const ApiRequest &request)
{
    const Command &command = this->data->command;
    ApiReply reply = this->callWithRetries(request);
    const bool waits = command.kind == CommandKind::Wait
        || (command.kind == CommandKind::Submit && command.submit.wait);
    while (waits && isUnfinishedJob(reply)) {
        const auto answer = parseAnswerBody(reply.body);
        if (!answer)
            return reply;
        reply = this->callWithRetries(buildWaitRequest(answer->requestId));
    }
    return reply;
}

ApiReply ApiClient::callWithRetries(ApiRequest request)
{
    const auto end = Clock::now() + this->data->command.retryFor;
    Duration delay = minRetryDelay;
    while (true) {
        ApiReply reply = this->call(request);
        const Duration wait = std::max(delay, reply.retryAfter);
        if (!isWorthRetrying(reply) || Clock::now() + wait >= end)
            return reply;
        if (this->data->command.kind == CommandKind::Submit && !reportsNotRun(reply))
            request = markAsRetry(std::move(request));
        std::this_thread::sleep_for(wait);
        delay = std::min<Duration>(2 * delay, maxRetryDelay);
    }
}

ApiReply ApiClient::call(const ApiRequest &request)
{
    const httplib::Result result = send(*this->data->client, request);
    if (!result)
        return {0, "no answer: " + httplib::to_string(result.error()), {}};
    return {result->status, result->body, retryAfterOf(*result)};
}

} // namespace Hibiscus
