#pragma once

#include <Core/Findings.h>
#include <Hibiscusctl/Command.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

enum class HttpMethod : std::uint8_t { Get, Post, Delete };

/// One call of an entry instance's HTTP interface.
struct ApiRequest
{
    HttpMethod method = HttpMethod::Get;
    std::string path;
    std::string body;

    bool operator==(const ApiRequest &) const = default;
};

/// One answer; `status` is 0 if none came.
struct ApiReply
{
    int status = 0;
    std::string body;
    Duration retryAfter{}; ///< Zero if the server named none.
};

/// The call that a command makes. `fileText` is the text of the file that it names, and `freshId`
/// stands in for a request id or change id that was not given. Findings name what is wrong with
/// the file.
tl::expected<ApiRequest, Findings> buildRequest(const Command &command, std::string_view fileText,
                                                std::string_view freshId);

/// The call that waits on for a job which has not ended yet.
ApiRequest buildWait(std::string_view requestId);

} // namespace Hibiscus
