#include <Policy/IdMap.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr std::size_t initialCapacity = 64;
constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15; // 2^64 divided by the golden ratio.

} // namespace

std::size_t IdMap::homeIndex(std::uint64_t key) const
{
    const std::uint64_t mixed = (key ^ (key >> 32)) * multiplier;
    return (mixed >> 20) & (this->entries.size() - 1);
}

std::optional<std::uint32_t> IdMap::find(std::uint64_t key) const
{
    if (this->entries.empty())
        return std::nullopt;
    std::size_t index = this->homeIndex(key);
    while (this->entries[index].value != empty) {
        if (this->entries[index].key == key)
            return this->entries[index].value;
        index = (index + 1) & (this->entries.size() - 1);
    }
    return std::nullopt;
}

void IdMap::insert(std::uint64_t key, std::uint32_t value)
{
    assert(value != empty && !this->find(key));
    if ((this->count + 1) * 2 > this->entries.size())
        this->grow();
    std::size_t index = this->homeIndex(key);
    while (this->entries[index].value != empty)
        index = (index + 1) & (this->entries.size() - 1);
    this->entries[index] = {key, value};
    ++this->count;
}

void IdMap::erase(std::uint64_t key)
{
    if (this->entries.empty())
        return;
    const std::size_t mask = this->entries.size() - 1;
    std::size_t hole = this->homeIndex(key);
    while (this->entries[hole].value != empty && this->entries[hole].key != key)
        hole = (hole + 1) & mask;
    if (this->entries[hole].value == empty)
        return;
    --this->count;
    // Backward-shift deletion: moves later entries of the probe sequence into the hole.
    for (std::size_t index = (hole + 1) & mask; this->entries[index].value != empty;
         index = (index + 1) & mask) {
        const std::size_t wanted = this->homeIndex(this->entries[index].key);
        if (((index - wanted) & mask) < ((index - hole) & mask))
            continue;
        this->entries[hole] = this->entries[index];
        hole = index;
    }
    this->entries[hole] = {};
}

void IdMap::grow()
{
    std::vector<Entry> old;
    old.swap(this->entries);
    this->entries.resize(old.empty() ? initialCapacity : old.size() * 2);
    this->count = 0;
    for (const Entry &entry : old) {
        if (entry.value != empty)
            this->insert(entry.key, entry.value);
    }
}

} // namespace Hibiscus
