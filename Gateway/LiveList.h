#pragma once

#include <Core/Findings.h>
#include <Core/Time.h>
#include <Fleet/Worker.h>

#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// The platform's list of live and leaving instances and workers. It lags behind the actual state.
struct LiveList
{
    std::vector<InstanceDescription> instances;
    std::vector<WorkerDescription> workers;
    Findings leftOut; ///< Of entries of the text that can't be used and are in neither list.

    bool operator==(const LiveList &) const = default;
};

/// Parses a list from JSON text: {"instances": [...], "workers": [...]} with the field names of
/// InstanceDescription and WorkerDescription. An entry that can't be used is left out with its
/// findings, and the others hold. Returns all findings together if the text is not such a list, or
/// if it has entries and none of them can be used.
tl::expected<LiveList, Findings> parseLiveList(std::string_view text);
std::string toJson(const LiveList &list);

/// Fetches the list over HTTP (GET /v1/live). Calls block. Never throws.
class LiveListClient
{
public:
    struct Settings
    {
        std::string host; ///< IP address.
        std::uint16_t port = 0;
        Duration timeout = seconds(2);
    };

    explicit LiveListClient(const Settings &settings);
    tl::expected<LiveList, Findings> fetch();

private:
    Settings settings;
};

} // namespace Hibiscus
