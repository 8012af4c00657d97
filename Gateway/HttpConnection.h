#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <memory>
#include <string>

namespace Hibiscus {

enum class HttpOutcome : std::uint8_t {
    Answered, ///< Whole, with any status.
    NotConnected, ///< No byte of the request went out, for certain.
    Broken, ///< The request may have arrived.
};

struct HttpAnswer
{
    HttpOutcome outcome = HttpOutcome::Broken;
    int status = 0;
    std::string body;
    std::string error; ///< For a person; empty if answered.
};

/// One HTTP connection that stays open between calls. The whole of a call is bounded, also if its
/// answer trickles in. Calls block; use it from one thread at a time. Never throws.
class HttpConnection
{
public:
    struct Settings
    {
        std::string host; ///< IP number.
        std::uint16_t port = 0;
        Duration timeout{}; ///< Of one call; a quarter of it at most for connecting.
    };

    explicit HttpConnection(const Settings &settings);
    ~HttpConnection();
    HttpConnection(HttpConnection &&) noexcept;
    HttpConnection &operator=(HttpConnection &&) noexcept;

    HttpAnswer get(const std::string &path);

    /// Posts JSON. `extraTime` is added to the timeout, for calls that wait on the other side.
    HttpAnswer postJson(const std::string &path, std::string body, Duration extraTime = {});

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
