#include <Gateway/HttpConnection.h>
#include <Gateway/StoreClient.h>
#include <Gateway/StoreGateway.h>

#include <httplib.h>
#include <netinet/tcp.h>

namespace Hibiscus {

namespace {

constexpr const char *jsonType = "application/json";
constexpr int httpOk = 200;

/// A watch may be silent for a long time, so its read timeout is long and TCP keepalive probes
/// detect a dead peer.
constexpr std::chrono::hours watchReadTimeout{24};
constexpr int keepAliveIdleSeconds = 5;
constexpr int keepAliveIntervalSeconds = 2;
constexpr int keepAliveProbeCount = 3;

void enableKeepAlive(socket_t socket)
{
    const auto set = [&](int level, int option, int value) {
        setsockopt(socket, level, option, &value, sizeof(value));
    };
    set(SOL_SOCKET, SO_KEEPALIVE, 1);
    set(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    set(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    set(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
}

/// Splits the stream of a watch into lines and delivers the changes in them.
class WatchReader
{
public:
    explicit WatchReader(const std::function<void(const StoreWatchBatch &)> &deliver)
        : deliver(deliver)
    {}

    /// Reads a piece of the stream. Returns false once the watch has ended.
    bool read(std::string_view bytes)
    {
        this->pending += bytes;
        std::size_t begin = 0;
        for (;;) {
            const std::size_t end = this->pending.find('\n', begin);
            if (end == std::string::npos)
                break;
            if (!this->readLine(std::string_view(this->pending).substr(begin, end - begin)))
                return false;
            begin = end + 1;
        }
        this->pending.erase(0, begin);
        return true;
    }

private:
    bool readLine(std::string_view line)
    {
        if (line.empty())
            return true;
        const std::optional<GatewayWatchMessage> message = decodeWatchMessage(line);
        if (!message || message->canceled)
            return false;
        const StoreWatchBatch &batch = message->batch;
        if (!batch.written.empty() || !batch.removed.empty())
            this->deliver(batch);
        return true;
    }

    const std::function<void(const StoreWatchBatch &)> &deliver;
    std::string pending;
};

} // namespace

struct StoreClient::Data
{
    Settings settings;
    HttpConnection http;
};

StoreClient::StoreClient(const Settings &settings)
    : data(std::make_unique<Data>(
        Data{settings, HttpConnection({settings.host, settings.port, settings.timeout})}))
{}

StoreClient::~StoreClient() = default;
StoreClient::StoreClient(StoreClient &&) noexcept = default;
StoreClient &StoreClient::operator=(StoreClient &&) noexcept = default;

StoreReply StoreClient::execute(const StoreRequest &request)
{
    const GatewayRequest call = encodeStoreRequest(request);
    const HttpAnswer answer = this->data->http.postJson(call.path, call.body);
    if (answer.outcome != HttpOutcome::Answered)
        return {};
    return decodeStoreReply(request, answer.status, answer.body);
}

bool StoreClient::watch(const std::string &prefix, std::int64_t fromRevision,
                        const std::function<void(const StoreWatchBatch &)> &deliver,
                        const std::stop_token &stop)
{
    try {
        httplib::Client http(this->data->settings.host, this->data->settings.port);
        http.set_socket_options(enableKeepAlive);
        http.set_connection_timeout(this->data->settings.timeout);
        http.set_read_timeout(watchReadTimeout);
        WatchReader reader(deliver);
        const GatewayRequest call = encodeWatchRequest(prefix, fromRevision);
        httplib::Request request;
        request.method = "POST";
        request.path = call.path;
        request.body = call.body;
        request.set_header("Content-Type", jsonType);
        request.response_handler
            = [&](const httplib::Response &response) { return response.status == httpOk; };
        // The store confirms a new watch immediately, so a stop that was requested while connecting
        // is noticed here.
        request.content_receiver = [&](const char *bytes, std::size_t size, auto, auto) {
            return !stop.stop_requested() && reader.read({bytes, size});
        };
        const std::stop_callback interrupt(stop, [&] { http.stop(); });
        if (!stop.stop_requested())
            http.send(request);
    } catch (const std::exception &) {
        return stop.stop_requested();
    }
    return stop.stop_requested();
}

} // namespace Hibiscus
