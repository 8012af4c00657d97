#pragma once

#include <Core/Findings.h>
#include <Endpoint/WorkerMessage.h>

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// Conversions between messages of the worker protocol and their JSON bodies. Parsing reports every
/// finding together with its place in the document.
std::string toJson(const WorkerRequest &request);
std::string toJson(const WorkerReply &reply);
tl::expected<WorkerRequest, Findings> parseWorkerRequest(std::string_view text);
tl::expected<WorkerReply, Findings> parseWorkerReply(std::string_view text);

/// Client of one worker over HTTP (POST /v1/worker) that keeps its connection open between calls.
/// Calls block; use an object from one thread at a time. Calls never throw: a failure before the
/// request was sent returns NotDelivered, a later one NoAnswer.
class WorkerClient
{
public:
    struct Settings
    {
        std::string host; ///< IP address.
        std::uint16_t port = 0;
        /// Timeout of one call; a Collect may take its `wait` longer.
        Duration timeout = seconds(2);
    };

    explicit WorkerClient(const Settings &settings);
    ~WorkerClient();
    WorkerClient(WorkerClient &&) noexcept;
    WorkerClient &operator=(WorkerClient &&) noexcept;

    WorkerReply execute(const WorkerRequest &request);

private:
    struct Data;
    std::unique_ptr<Data> data;
};

} // namespace Hibiscus
