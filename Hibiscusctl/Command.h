#pragma once

#include <Config/Configuration.h>
#include <Config/RequestJson.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Hibiscus {

enum class CommandKind : std::uint8_t {
    Help,
    Version,
    Submit,
    Status,
    Wait,
    Cancel,
    CustomerPut,
    CustomerRemove,
    CustomerList,
    PresetPut,
    PresetSwitch,
    PresetRemove,
    PresetList,
    Show,
    Drain,
    Key,
    Explain,
};

/// What `hibiscusctl` ends with; part of its interface.
enum class ExitCode : std::uint8_t {
    Success = 0, ///< Done or accepted.
    Usage = 1,
    Refused = 2, ///< Not run, an invalid change, or a key that does not allow it.
    Conflict = 3, ///< Another change came first.
    Unavailable = 4, ///< No answer, or the outcome is unknown.
    Failed = 5, ///< The job ran and failed, or was cancelled.
};

/// One command line, read. Files are named here and read by the caller.
struct Command
{
    CommandKind kind = CommandKind::Help;
    std::string argument; ///< A request id, a file or a name, by kind.
    std::vector<std::string> logFiles; ///< With Explain.
    std::string host;
    std::uint16_t port = 0;
    std::string key; ///< "name.secret"
    std::string certificateAuthority; ///< A PEM file; TLS is used if it is given.
    bool json = false;
    Duration retryFor{};
    SubmitBody submit;
    std::string payloadFile;
    std::string changeId; ///< Empty: a fresh one.
    std::optional<std::uint64_t> basedOn;
    Role role = Role::Caller;
};

} // namespace Hibiscus
