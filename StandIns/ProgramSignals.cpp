#include <StandIns/ProgramSignals.h>

namespace Hibiscus {

ProgramSignals::ProgramSignals()
{
    sigemptyset(&this->terminationSignals);
    sigaddset(&this->terminationSignals, SIGTERM);
    sigaddset(&this->terminationSignals, SIGINT);
    // Blocked in every thread, so that sigwait() gets them.
    pthread_sigmask(SIG_BLOCK, &this->terminationSignals, nullptr);
    // A client that has gone is an error of its socket only.
    std::signal(SIGPIPE, SIG_IGN);
}

void ProgramSignals::waitForTermination() const
{
    int signal = 0;
    sigwait(&this->terminationSignals, &signal);
}

} // namespace Hibiscus
