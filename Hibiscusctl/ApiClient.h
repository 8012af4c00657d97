#pragma once

#include <Hibiscusctl/ApiRequest.h>
#include <Hibiscusctl/Command.h>

#include <memory>

namespace Hibiscus {

/// Client of one entry instance over HTTP or HTTPS. It retries calls without an answer for as long
/// as the command allows. Calls block.
class ApiClient
{
public:
    explicit ApiClient(const Command &command);
    ~ApiClient();

    /// Makes the command's call. If the command waits for a job, it then polls until the job has
    /// ended.
    ApiReply run(const ApiRequest &request);

private:
    struct Data;

    ApiReply callWithRetries(ApiRequest request);
    ApiReply call(const ApiRequest &request);

    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
