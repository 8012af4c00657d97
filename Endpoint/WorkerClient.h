#pragma once

#include <Core/Findings.h>
#include <Endpoint/WorkerMessage.h>

#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace Hibiscus {

/// JSON bodies of the worker protocol. Decoding reports every finding with its place.
std::string toJson(const WorkerRequest &request);
std::string toJson(const WorkerReply &reply);
tl::expected<WorkerRequest, Findings> parseWorkerRequest(std::string_view text);
tl::expected<WorkerReply, Findings> parseWorkerReply(std::string_view text);

/// One worker over HTTP (POST /v1/worker). Keeps its connection open between calls. Calls block;
/// use one object from one thread at a time. Never throws: what failed before the request was
/// sent is NotDelivered, everything later NoAnswer.
class WorkerClient
{
public:
    struct Settings
    {
        std::string host; ///< IP number.
        std::uint16_t port = 0;
        Duration timeout = seconds(2); ///< Of one call; a Collect may take its `wait` longer.
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
