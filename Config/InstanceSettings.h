#pragma once

#include <Config/Configuration.h>
#include <Core/Findings.h>
#include <Core/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Address of a listener or a server. The host is an IP address. Tests use port 0 to listen on an
/// ephemeral port.
struct ListenAddress
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/// HTTP listener for callers.
struct CallerSettings
{
    ListenAddress address;
    std::uint32_t threads = 32;
    std::uint32_t largestBodyBytes = 128 * 1024;
};

/// Separate HTTP listener for urgent requests, so that floods of other requests can't use up its
/// threads.
struct UrgentCallerSettings
{
    ListenAddress address;
    std::uint32_t threads = 16;
};

/// PEM files. If set, every HTTP listener uses TLS.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;
};

struct PeerSettings
{
    ListenAddress address;
    std::string clusterKeyFile;
};

struct StoreSettings
{
    ListenAddress address;
    Duration timeout = seconds(2);
};

struct LiveListSettings
{
    ListenAddress address;
    Duration interval = seconds(1);
};

enum class LogLayout : std::uint8_t { Plain, Json };
enum class LogLevel : std::uint8_t { Trace, Debug, Info, Warn, Error };

struct LogSettings
{
    std::string file = "-"; ///< "-" means standard error.
    LogLayout layout = LogLayout::Plain;
    LogLevel level = LogLevel::Info;
};

struct LimitSettings
{
    std::uint32_t waitingCallers = 512; ///< Maximum number of held connections of all customers.
    double retryShare = 0.1; ///< Maximum ratio of retries to first tries.
};

struct LedgerSettings
{
    std::uint32_t shards = 16;
    Duration commitSpacing = milliseconds(20); ///< Minimum time between two writes of one shard.
};

struct LeaseSettings
{
    Duration owner = seconds(6); ///< Lease of a dispatcher on a worker.
    Duration task = seconds(20); ///< Lease of a task on a worker.
    Duration renew = seconds(2); ///< Interval between renewals of a lease.
};

/// The settings of one hibiscusd process.
struct InstanceSettings
{
    std::string instance;
    std::string dataCenter;
    std::string region;
    CallerSettings callers;
    UrgentCallerSettings urgentCallers;
    ListenAddress operators;
    ListenAddress health;
    std::optional<TlsSettings> tls;
    PeerSettings peers;
    StoreSettings store;
    LiveListSettings liveList;
    std::vector<ApiKey> operatorKeys; ///< Valid even while no configuration is known.
    Duration drain = seconds(30); ///< Maximum duration of a graceful shutdown.
    LogSettings log;
    LimitSettings limits;
    LedgerSettings ledger;
    LeaseSettings leases;
};

/// Parses the text of a settings file. Returns all findings together, with their JSON pointers.
tl::expected<InstanceSettings, Findings> parseInstanceSettings(std::string_view text);

} // namespace Hibiscus
