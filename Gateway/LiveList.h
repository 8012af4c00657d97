#pragma once

#include <Core/Findings.h>
#include <Core/Time.h>
#include <Fleet/Worker.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// The platform's lagging list of what is live and what is leaving.
struct LiveList
{
    std::vector<InstanceDescription> instances;
    std::vector<WorkerDescription> workers;

    bool operator==(const LiveList &) const = default;
};

/// Reads a list from its JSON text: {"instances": [...], "workers": [...]} with the field names of
/// the two descriptions. All findings are returned together.
tl::expected<LiveList, Findings> parseLiveList(std::string_view text);
std::string toJson(const LiveList &list);

/// Fetches the list over HTTP (GET /v1/live). Blocks; never throws.
class LiveListClient
{
public:
    struct Settings
    {
        std::string host; ///< IP number.
        std::uint16_t port = 0;
        Duration timeout = seconds(2);
    };

    explicit LiveListClient(const Settings &settings);
    tl::expected<LiveList, Findings> fetch();

private:
    Settings settings;
};

} // namespace Hibiscus
