#include <StandIns/ProgramSignals.h>

namespace Hibiscus {

ProgramSignals::ProgramSignals()
{
    sigemptyset(&this->terminationSignals);
    sigaddset(&this->terminationSignals, SIGTERM);
    sigaddset(&this->terminationSignals, SIGINT);
    // Threads started later inherit the blocked mask, so that only sigwait() receives the signals.
    pthread_sigmask(SIG_BLOCK, &this->terminationSignals, nullptr);
    // A write to a connection that the client has closed fails with an error instead of ending the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
}

void ProgramSignals::waitForTermination() const
{
    int signal = 0;
    sigwait(&this->terminationSignals, &signal);
}

} // namespace Hibiscus
