#pragma once

#include <Core/Time.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// Jobs by a time of theirs, earliest first, equal times in the order they were added. Removal is
/// lazy: an entry is dead once its ticket is no longer its job's, and dead entries are dropped when
/// they come to the top or make up half of the heap, which keeps cancellation O(1) amortised.
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

    /// The earliest entry that is alive; drops dead ones before it.
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

    /// Drops the dead entries if they may outnumber `alive` ones.
    template <class IsLive>
    void compact(std::size_t liveCount, IsLive isLive)
    {
        if (this->entries.size() <= 2 * liveCount + minCompactedSize)
            return;
        std::erase_if(this->entries, [&](const Entry &entry) { return !isLive(entry); });
        std::make_heap(this->entries.begin(), this->entries.end(), later);
    }

    /// The earliest entry, dead or alive.
    const Entry *front() const { return this->entries.empty() ? nullptr : &this->entries.front(); }

private:
    static constexpr std::size_t minCompactedSize = 64;

    // Tickets grow, so they break ties in the order of adding and make the order total.
    static bool later(const Entry &left, const Entry &right)
    {
        return left.when != right.when ? left.when > right.when : left.ticket > right.ticket;
    }

    std::vector<Entry> entries;
};

} // namespace Hibiscus
