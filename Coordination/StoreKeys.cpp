#include <Coordination/StoreKeys.h>

namespace Hibiscus::Coordination::StoreKeys {

namespace {

constexpr std::string_view cancellationSuffix = "/cancelled";

} // namespace

std::string job(std::string_view id)
{
    return std::string(jobs).append(id);
}

std::string cancellation(std::string_view id)
{
    return job(id).append(cancellationSuffix);
}

std::string progressOf(std::string_view id)
{
    return std::string(progress).append(id);
}

JobKey parseJobKey(std::string_view key)
{
    key.remove_prefix(std::string_view(jobs).size());
    const bool isCancellation = key.ends_with(cancellationSuffix);
    if (isCancellation)
        key.remove_suffix(cancellationSuffix.size());
    return {std::string(key), isCancellation};
}

} // namespace Hibiscus::Coordination::StoreKeys
