#pragma once

#include <Tasks/TaskJob.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Hibiscus::Tasks {

/// One queue: the URL under which its jobs are submitted, and their priority and objectives.
struct Queue
{
    std::string name;
    std::string host;
    std::string prefix; ///< Prefix of the URL path; the job's id follows the prefix.
    std::string service;
    std::int32_t priority = 0; ///< 0 is the most urgent.
    std::int32_t maxAttempts = 1;
    double stretch = 1.0;
    Duration targetLatency{};
    Duration timeout{}; ///< A call is answered within this time.
    bool allowsAnonymous = false; ///< Calls need no API key.
    PermitTerms permits;
};

struct Customer
{
    std::string name;
    std::vector<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; ///< Guaranteed to the customer's jobs of priority 0.
};

struct HttpLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{256} * 1024;
    Duration headerTimeout = seconds(3);
    Duration idleTimeout = seconds(15);
};

/// One version of the configuration that operators set.
struct SystemConfiguration
{
    std::int64_t version = 0;
    std::int64_t revision = 0; ///< Revision of the store's key that holds the configuration.
    std::vector<Queue> queues;
    std::vector<Customer> customers;
    std::vector<std::string> services; ///< Names of the pools of workers.
    HttpLimits limits;
};

/// Index over one configuration that finds its queues and customers.
class ConfigurationIndex
{
public:
    struct Match
    {
        const Queue *queue = nullptr; ///< Null: no such queue.
        std::string_view jobId; ///< Part of the path that follows the queue's prefix.
    };

    explicit ConfigurationIndex(SystemConfiguration configuration);

    /// Finds the host's queue with the longest matching prefix of the path. The host's port is
    /// ignored.
    Match findQueue(std::string_view host, std::string_view path) const;
    /// Returns the customer that holds the API key, or null.
    const Customer *findCustomerByKey(const std::string &key) const;
    const Customer *findCustomerByName(std::string_view name) const;

    const SystemConfiguration &configuration() const { return this->values; }

private:
    SystemConfiguration values;
    std::unordered_map<std::string, std::vector<const Queue *>> queuesByHost;
    std::unordered_map<std::string, const Customer *> customersByKey;
};

} // namespace Hibiscus::Tasks
