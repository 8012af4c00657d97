#include <Config/StoreChannel.h>

#include <cassert>
#include <utility>

namespace Hibiscus {

void StoreChannel::start(StoreRequest request, TimePoint now, std::vector<StoreCall> &out)
{
    assert(!this->isBusy());
    const CallId call{this->nextCall};
    this->nextCall += this->callStep;
    this->waiting = call;
    this->due = now + this->timeout;
    out.push_back({call, std::move(request)});
}

bool StoreChannel::acceptReply(CallId call)
{
    if (this->waiting != call)
        return false;
    this->waiting.reset();
    return true;
}

bool StoreChannel::expire(TimePoint now)
{
    if (!this->isBusy() || now < this->due)
        return false;
    this->waiting.reset();
    return true;
}

TimePoint StoreChannel::deadline() const
{
    return this->isBusy() ? this->due : TimePoint::max();
}

} // namespace Hibiscus
