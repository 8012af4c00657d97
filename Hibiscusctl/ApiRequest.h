#pragma once

#include <Core/Findings.h>
#include <Hibiscusctl/Command.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

enum class HttpMethod : std::uint8_t { Get, Post, Delete };

/// Request to the HTTP interface of an entry instance.
struct ApiRequest
{
    HttpMethod method = HttpMethod::Get;
    std::string path;
    std::string body;

    bool operator==(const ApiRequest &) const = default;
};

/// Reply to a request; `status` is 0 if none came.
struct ApiReply
{
    int status = 0;
    std::string body;
    Duration retryAfter{}; ///< Zero if the server sent none.
};

/// Builds the request of a command. `fileText` is the text of the file that the command names, and
/// `generatedId` replaces a request id or change id that was not given. Findings describe errors in
/// the file.
tl::expected<ApiRequest, Findings> buildRequest(const Command &command, std::string_view fileText,
                                                std::string_view generatedId);

/// Builds the request that waits for the end of a job.
ApiRequest buildWaitRequest(std::string_view requestId);

} // namespace Hibiscus
