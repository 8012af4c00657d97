#pragma once

#include <Runtime/HttpServer.h>
#include <Tasks/MetadataStore.h>
#include <Tasks/WorkerLink.h>

#include <string>
#include <vector>

/// The platform's side of the wire formats, for the soak's fakes. Not used by the product.
namespace Hibiscus::Soak {

/// Executes a request on the store. A request whose outcome is unknown gets no answer.
void serveStore(Tasks::MetadataStore &store, const Runtime::HttpRequest &request,
                const Runtime::HttpResponder &responder);

/// Executes an order on the worker. An order whose outcome is unknown gets no answer.
void serveWorker(Tasks::WorkerLink &link, const Tasks::WorkerEntry &worker,
                 const Runtime::HttpRequest &request, const Runtime::HttpResponder &responder);

std::string registryKey(const std::string &worker);
std::string encodeEntry(const Tasks::WorkerEntry &worker, std::int64_t sequence);

/// Encodes a configuration with three queues, one of each priority, with the path prefixes "/p0/"
/// to "/p2/".
std::string encodeConfiguration(std::int64_t version, const std::vector<std::string> &keys);

/// Encodes a submission with one step of `tasks` tasks.
std::string encodeJob(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                      bool gang, bool checkpoints);

struct InstanceAddresses
{
    std::string name;
    std::string callers;
    std::string readiness;
    std::string store;
};
/// Encodes the settings file of an instance.
std::string encodeSettings(const InstanceAddresses &addresses);

inline constexpr const char *configurationHost = "jobs.example";

} // namespace Hibiscus::Soak
