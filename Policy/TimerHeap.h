#pragma once

#include <Core/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// Min-heap of jobs by time, with equal times in insertion order. Removal is lazy: an entry is
/// stale once its ticket no longer matches its job's, and stale entries are dropped when they reach
/// the top or make up half of the heap, which keeps cancellation O(1) amortised.
class TimerHeap
{
public:
    struct Entry
    {
        TimePoint when;
        std::uint32_t job = 0;
        std::uint32_t ticket = 0;
    };

    void add(TimePoint when, std::uint32_t job, std::uint32_t ticket)
    {
        this->entries.push_back({when, job, ticket});
        std::push_heap(this->entries.begin(), this->entries.end(), later);
    }

    /// The earliest live entry. Drops the stale entries before it.
    template <class IsLive>
    std::optional<Entry> top(IsLive isLive)
    {
        while (!this->entries.empty() && !isLive(this->entries.front()))
            this->pop();
        if (this->entries.empty())
            return std::nullopt;
        return this->entries.front();
    }

    void pop()
    {
        std::pop_heap(this->entries.begin(), this->entries.end(), later);
        this->entries.pop_back();
    }

    /// Drops the stale entries if they may outnumber `liveCount` live entries.
    template <class IsLive>
    void compact(std::size_t liveCount, IsLive isLive)
    {
        if (this->entries.size() <= 2 * liveCount + minCompactedSize)
            return;
        std::erase_if(this->entries, [&](const Entry &entry) { return !isLive(entry); });
        std::make_heap(this->entries.begin(), this->entries.end(), later);
    }

    /// The earliest entry, live or stale.
    const Entry *front() const { return this->entries.empty() ? nullptr : &this->entries.front(); }

private:
    static constexpr std::size_t minCompactedSize = 64;

    // Tickets increase, so they break ties in insertion order and make the order total.
    static bool later(const Entry &left, const Entry &right)
    {
        return left.when != right.when ? left.when > right.when : left.ticket > right.ticket;
    }

    std::vector<Entry> entries;
};

} // namespace Hibiscus
