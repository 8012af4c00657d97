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
    CheckConfiguration,
};

/// Exit codes of `hibiscusctl`, which are part of its interface.
enum class ExitCode : std::uint8_t {
    Success = 0, ///< Done or accepted.
    Usage = 1,
    Refused = 2, ///< Not run, an invalid change, or a key without permission.
    Conflict = 3, ///< Another change was made first.
    Unavailable = 4, ///< No answer, or the outcome is unknown.
    Failed = 5, ///< The job ran and failed, or was cancelled.
};

/// A parsed command line. It holds the names of files, which the caller reads.
struct Command
{
    CommandKind kind = CommandKind::Help;
    std::string argument; ///< A request id, a file or a name, depending on `kind`.
    std::vector<std::string> logFiles; ///< Log files to read, for Explain.
    std::string
        inForceFile; ///< Configuration to compare with, for CheckConfiguration; may be empty.
    std::string host;
    std::uint16_t port = 0;
    std::string key; ///< "name.secret"
    std::string certificateAuthority; ///< PEM file; if set, calls use TLS.
    bool json = false;
    Duration retryFor{};
    SubmitBody submit;
    std::string payloadFile;
    std::string changeId; ///< If empty, an id is generated.
    std::optional<std::uint64_t> basedOn;
    Role role = Role::Caller;
};

} // namespace Hibiscus
