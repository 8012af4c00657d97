#pragma once

#include <cstddef>
#include <string>
#include <sys/types.h>
#include <vector>

namespace Hibiscus::Soak {

/// A process started by the soak. Signals are sent only to its process id. The destructor kills and
/// reaps a process that is still running.
class ChildProcess
{
public:
    /// Starts the command with standard output and errors appended to `logFile`. `environment` has
    /// further variables as NAME=VALUE. Throws std::system_error on failure.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile,
                 const std::vector<std::string> &environment = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Whether the process is running; reaps the process if it has ended.
    bool isRunning();
    /// Wait status from waitpid; valid after the process has ended.
    int status() const { return this->endStatus; }
    /// Peak resident memory in KiB; 0 if the process has ended.
    long peakMemoryKiB() const;
    /// Number of open descriptors; 0 if the process has ended.
    std::size_t descriptorCount() const;

private:
    pid_t id = 0;
    bool hasEnded = false;
    int endStatus = 0;
};

} // namespace Hibiscus::Soak
