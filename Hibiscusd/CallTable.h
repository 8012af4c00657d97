#pragma once

#include <Core/Ids.h>

#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <optional>

namespace Hibiscus {

/// Calls of HTTP threads that wait for an answer of the entry machine. Thread-safe.
template <class Answer>
class CallTable
{
public:
    struct Ticket
    {
        CallId call;
        std::future<Answer> answer;
    };

    /// Registers a new call.
    Ticket open()
    {
        const std::lock_guard lock(this->mutex);
        const CallId call{this->nextCall++};
        return {call, this->promises[call].get_future()};
    }

    /// Passes the answer to the waiting thread. Returns false if no thread waits for the call any
    /// more.
    bool answer(CallId call, Answer answer)
    {
        const std::lock_guard lock(this->mutex);
        const auto it = this->promises.find(call);
        if (it == this->promises.end())
            return false;
        it->second.set_value(std::move(answer));
        this->promises.erase(it);
        return true;
    }

    /// Waits for the answer. Returns nothing after `limit`; the ticket is invalid from then on.
    std::optional<Answer> wait(Ticket &ticket, std::chrono::microseconds limit)
    {
        if (ticket.answer.wait_for(limit) == std::future_status::ready)
            return ticket.answer.get();
        const std::lock_guard lock(this->mutex);
        if (this->promises.erase(ticket.call) == 0)
            return ticket.answer.get();
        return std::nullopt;
    }

private:
    std::mutex mutex;
    std::uint64_t nextCall = 1;
    std::map<CallId, std::promise<Answer>> promises;
};

} // namespace Hibiscus
