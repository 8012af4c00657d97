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

/// Where something listens. Hosts are IP numbers; port 0 is an ephemeral one, for tests.
struct ListenAddress
{
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const ListenAddress &) const = default;
};

/// Callers' HTTP listener.
struct CallerSettings
{
    ListenAddress address;
    std::uint32_t threads = 32;
    std::uint32_t largestBodyBytes = 128 * 1024;
};

/// Listener of its own for urgent requests, so that no flood of others takes its threads.
struct UrgentCallerSettings
{
    ListenAddress address;
    std::uint32_t threads = 16;
};

/// PEM files; with them every HTTP listener speaks TLS.
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
    std::string file = "-"; ///< "-" is the standard error output.
    LogLayout layout = LogLayout::Plain;
    LogLevel level = LogLevel::Info;
};

struct LimitSettings
{
    std::uint32_t waitingCallers = 512; ///< Held connections of all customers together.
    double retryShare = 0.1; ///< Retries, as a part of first tries.
};

struct LedgerSettings
{
    std::uint32_t shards = 16;
    Duration commitSpacing = milliseconds(20); ///< Between two writes of one shard.
};

struct LeaseSettings
{
    Duration owner = seconds(6); ///< Of a dispatcher on a worker.
    Duration task = seconds(20);
    Duration renew = seconds(2);
};

/// The settings of one hibiscusd.
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
    std::vector<ApiKey> operatorKeys; ///< Valid also while no configuration is known.
    Duration drain = seconds(30); ///< Longest graceful shutdown.
    LogSettings log;
    LimitSettings limits;
    LedgerSettings ledger;
    LeaseSettings leases;
};

/// Reads a settings file's text. All findings come back together, with their JSON pointers.
tl::expected<InstanceSettings, Findings> parseInstanceSettings(std::string_view text);

} // namespace Hibiscus
