#pragma once

#include <csignal>

namespace Hibiscus {

/// Lets a program end cleanly at SIGTERM or SIGINT. Make one before the first thread starts.
class ProgramSignals
{
public:
    ProgramSignals();
    void waitForTermination() const;

private:
    sigset_t terminationSignals{};
};

} // namespace Hibiscus
