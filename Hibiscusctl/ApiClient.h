#pragma once

#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/Command.h>

#include <memory>

namespace Hibiscus {

/// Calls one entry instance over HTTP or HTTPS, and repeats calls without an answer for as long
/// as the command allows. Blocks.
class ApiClient
{
public:
    explicit ApiClient(const Command &command);
    ~ApiClient();

    /// Makes the command's call and, if it waits for a job, the calls that follow.
    ApiReply run(const ApiRequest &request);

private:
    struct Data;

    ApiReply callWithRetries(ApiRequest request);
    ApiReply call(const ApiRequest &request);

    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
