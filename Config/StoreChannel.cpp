#include <Config/StoreLane.h>

#include <cassert>
#include <utility>

namespace Hibiscus {

void StoreLane::start(StoreRequest request, TimePoint now, std::vector<StoreCall> &out)
{
    assert(!this->isBusy());
    const CallId call{this->nextCall};
    this->nextCall += this->callStep;
    this->waiting = call;
    this->due = now + this->timeout;
    out.push_back({call, std::move(request)});
}

bool StoreLane::take(CallId call)
{
    if (this->waiting != call)
        return false;
    this->waiting.reset();
    return true;
}

bool StoreLane::takeTimeout(TimePoint now)
{
    if (!this->isBusy() || now < this->due)
        return false;
    this->waiting.reset();
    return true;
}

TimePoint StoreLane::deadline() const
{
    return this->isBusy() ? this->due : TimePoint::max();
}

} // namespace Hibiscus
