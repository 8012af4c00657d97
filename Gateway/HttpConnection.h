#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Hibiscus {

enum class HttpOutcome : std::uint8_t {
    Answered, ///< A complete answer with any status.
    NotConnected, ///< Certainly no byte of the request was sent.
    Broken, ///< No complete answer; the request may have arrived.
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::Broken;
    int status = 0;
    std::string body;
    std::string error; ///< Human-readable error; empty if answered.
};

/// One HTTP connection that stays open between calls. The timeout bounds the total time of a call,
/// even if its answer arrives in small pieces. Calls block. Not thread-safe. Never throws.
class HttpConnection
{
public:
    struct Settings
    {
        std::string host; ///< IP address.
        std::uint16_t port = 0;
        Duration timeout{}; ///< Limit of one call; connecting may take at most a quarter of it.
    };

    explicit HttpConnection(const Settings &settings);
    ~HttpConnection();
    HttpConnection(HttpConnection &&) noexcept;
    HttpConnection &operator=(HttpConnection &&) noexcept;

    HttpAnswer get(const std::string &path);

    /// Posts JSON. `extraTime` is added to the timeout, for calls that the server holds open.
    HttpAnswer postJson(const std::string &path, std::string body, Duration extraTime = {});

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
