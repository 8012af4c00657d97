#include <Tasks/SystemConfiguration.h>

#include <algorithm>
#include <cctype>

namespace Hibiscus::Tasks {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string key(host.substr(0, host.find(':')));
    std::transform(key.begin(), key.end(), key.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return key;
}

bool hasLongerPrefix(const Queue *left, const Queue *right)
{
    return left->prefix.size() > right->prefix.size();
}

} // namespace

ConfigurationIndex::ConfigurationIndex(SystemConfiguration configuration)
    : values(std::move(configuration))
{
    for (const Queue &queue : this->values.queues)
        this->queuesByHost[normalizedHost(queue.host)].push_back(&queue);
    for (auto &[host, queues] : this->queuesByHost)
        std::stable_sort(queues.begin(), queues.end(), hasLongerPrefix);
    for (const Customer &customer : this->values.customers) {
        for (const std::string &key : customer.keys)
            this->customersByKey.emplace(key, &customer);
    }
}

ConfigurationIndex::Match ConfigurationIndex::findQueue(std::string_view host,
                                                        std::string_view path) const
{
    const auto found = this->queuesByHost.find(normalizedHost(host));
    if (found == this->queuesByHost.end())
        return {};
    for (const Queue *queue : found->second) {
        if (path.starts_with(queue->prefix))
            return {queue, path.substr(queue->prefix.size())};
    }
    return {};
}

const Customer *ConfigurationIndex::findCustomerByKey(const std::string &key) const
{
    const auto found = this->customersByKey.find(key);
    return found == this->customersByKey.end() ? nullptr : found->second;
}

const Customer *ConfigurationIndex::findCustomerByName(std::string_view name) const
{
    for (const Customer &customer : this->values.customers) {
        if (customer.name == name)
            return &customer;
    }
    return nullptr;
}

} // namespace Hibiscus::Tasks
