#include <Ledger/RefusedCalls.h>

namespace Hibiscus {

namespace {

constexpr std::size_t mostNames = 4096;

} // namespace

void RefusedCalls::add(const std::string &instance, CallId call, const JobAnswer &answer)
{
    Name name(instance, call.value);
    if (call.value == 0 || !this->answers.emplace(name, answer).second)
        return;
    this->order.push_back(std::move(name));
    if (this->order.size() > mostNames) {
        this->answers.erase(this->order.front());
        this->order.pop_front();
    }
}

const JobAnswer *RefusedCalls::find(const std::string &instance, CallId call) const
{
    const auto found = this->answers.find(Name(instance, call.value));
    return found == this->answers.end() ? nullptr : &found->second;
}

void RefusedCalls::clear()
{
    this->answers.clear();
    this->order.clear();
}

} // namespace Hibiscus
