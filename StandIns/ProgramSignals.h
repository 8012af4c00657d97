#pragma once

#include <csignal>

namespace Hibiscus {

/// Lets a program exit cleanly on SIGTERM or SIGINT. Has to be created before the first thread
/// starts, so that all threads inherit the signal mask.
class ProgramSignals
{
public:
    ProgramSignals();
    void waitForTermination() const;

private:
    sigset_t terminationSignals{};
};

} // namespace Hibiscus
