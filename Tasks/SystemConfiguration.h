#pragma once

#include <Tasks/TaskJob.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Hibiscus::Tasks {

/// Where jobs of one kind are handed in, and what its jobs are owed.
struct Queue
{
    std::string name;
    std::string host;
    std::string prefix; ///< Of the path; the job's id follows it.
    std::string service;
    std::int32_t priority = 0; ///< 0 goes first.
    std::int32_t maxAttempts = 1;
    double stretch = 1.0;
    Duration targetLatency{};
    Duration timeout{}; ///< For the answer to a call.
    bool allowsAnonymous = false; ///< Calls need no key.
    PermitTerms permits;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; ///< For its jobs of priority 0.
};

struct HttpLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{256} * 1024;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// What operators have set, as one version.
struct SystemConfiguration
{
    std::int64_t version = 0;
    std::int64_t revision = 0; ///< Of the store's key that holds it.
    std::vector<Queue> queues;
    std::vector<Customer> customers;
    HttpLimits limits;
};

/// Finds queues and customers of one configuration.
class ConfigurationIndex
{
public:
    struct Match
    {
        const Queue *queue = nullptr; ///< Null: no such queue.
        std::string_view jobId; ///< What follows the queue's prefix.
    };

    explicit ConfigurationIndex(SystemConfiguration configuration);

    /// The queue with the longest prefix of the path; the host's port is ignored.
    Match findQueue(std::string_view host, std::string_view path) const;
    /// The customer that holds the key, or null.
    const Customer *findCustomerByKey(const std::string &key) const;
    const Customer *findCustomerByName(std::string_view name) const;

    const SystemConfiguration &configuration() const { return this->values; }

private:
    SystemConfiguration values;
    std::unordered_map<std::string, std::vector<const Queue *>> queuesByHost;
    std::unordered_map<std::string, const Customer *> customersByKey;
};

} // namespace Hibiscus::Tasks
