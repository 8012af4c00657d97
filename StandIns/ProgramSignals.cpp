#include <StandIns/ProgramSignals.h>

namespace Hibiscus {

ProgramSignals::ProgramSignals()
{
    sigemptyset(&this->terminating);
    sigaddset(&this->terminating, SIGTERM);
    sigaddset(&this->terminating, SIGINT);
    // Blocked in every thread, so that sigwait() gets them.
    pthread_sigmask(SIG_BLOCK, &this->terminating, nullptr);
    // A client that has gone is an error of its socket only.
    std::signal(SIGPIPE, SIG_IGN);
}

void ProgramSignals::waitForTermination() const
{
    int signal = 0;
    sigwait(&this->terminating, &signal);
}

} // namespace Hibiscus
