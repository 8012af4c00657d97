#pragma once

#include <string>
#include <sys/types.h>
#include <vector>

namespace Hibiscus::Soak {

/// One process that the soak started. Signals go to its id alone; it is killed and reaped at the
/// latest when this object ends.
class ChildProcess
{
public:
    /// Standard output and errors are appended to `logFile`. Throws std::system_error.
    ChildProcess(const std::vector<std::string> &command, const std::string &logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    ChildProcess &operator=(const ChildProcess &) = delete;

    void signal(int number) const;
    /// Reaps it if it has ended.
    bool running();
    /// As waitpid tells it; of a process that has ended.
    int status() const { return this->endStatus; }
    /// Resident memory at its peak in KiB; 0 if it has ended.
    long peakMemoryKiB() const;

private:
    pid_t id = 0;
    bool ended = false;
    int endStatus = 0;
};

} // namespace Hibiscus::Soak
