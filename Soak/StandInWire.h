#pragma once

#include <Runtime/HttpServer.h>
#include <Tasks/MetadataStore.h>
#include <Tasks/WorkerLink.h>

#include <string>
#include <vector>

/// The platform's side of its wire, for the soak's stand-ins. Nothing of it is used by the product.
namespace Hibiscus::Soak {

/// Carries one call out on the store. A call without an outcome gets no answer.
void serveStore(Tasks::MetadataStore &store, const Runtime::HttpRequest &request,
                const Runtime::HttpResponder &responder);

/// The same for an order to a worker.
void serveWorker(Tasks::WorkerLink &link, const Tasks::WorkerEntry &worker,
                 const Runtime::HttpRequest &request, const Runtime::HttpResponder &responder);

std::string registryKey(const std::string &worker);
std::string encodeEntry(const Tasks::WorkerEntry &worker, std::int64_t sequence);

/// Three queues, one of each priority, below "/p0/" to "/p2/" of any version.
std::string encodeConfiguration(std::int64_t version, const std::vector<std::string> &keys);

/// What a client sends: a step of so many tasks.
std::string encodeJob(const std::string &payload, std::int32_t tasks, std::int32_t accelerators,
                      bool gang, bool checkpoints);

struct InstanceAddresses
{
    std::string name;
    std::string callers;
    std::string readiness;
    std::string store;
};
/// The settings file of an instance.
std::string encodeSettings(const InstanceAddresses &addresses);

inline constexpr const char *configurationHost = "jobs.example";

} // namespace Hibiscus::Soak
