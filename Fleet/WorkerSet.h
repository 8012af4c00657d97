#pragma once

#include <Core/Ids.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// A set of workers as a two-level bitset, for finding the lowest member from a given position on:
/// the search reads one word per level and skips empty ranges of 4,096 workers.
class WorkerSet
{
public:
    /// Extends the set to workers below `size`; never shrinks.
    void resize(std::size_t size);

    void insert(WorkerId worker);
    void erase(WorkerId worker);
    void assign(WorkerId worker, bool isMember);
    void clear();

    bool contains(WorkerId worker) const;
    bool isEmpty() const { return this->memberCount == 0; }
    std::uint32_t size() const { return this->memberCount; }

    /// The lowest member that is `from` or higher.
    std::optional<WorkerId> next(WorkerId from = {}) const;

private:
    std::vector<std::uint64_t> words;
    std::vector<std::uint64_t> summary; ///< One bit for each word that is not zero.
    std::uint32_t memberCount = 0;
};

} // namespace Hibiscus
