#include <Policy/IdMap.h>

#include <cassert>

namespace Hibiscus {

namespace {

constexpr std::size_t firstSize = 64;
constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15; // 2^64 divided by the golden ratio.

} // namespace

std::size_t IdMap::home(std::uint64_t key) const
{
    const std::uint64_t mixed = (key ^ (key >> 32)) * multiplier;
    return (mixed >> 20) & (this->entries.size() - 1);
}

std::optional<std::uint32_t> IdMap::find(std::uint64_t key) const
{
    if (this->entries.empty())
        return std::nullopt;
    std::size_t place = this->home(key);
    while (this->entries[place].value != empty) {
        if (this->entries[place].key == key)
            return this->entries[place].value;
        place = (place + 1) & (this->entries.size() - 1);
    }
    return std::nullopt;
}

void IdMap::insert(std::uint64_t key, std::uint32_t value)
{
    assert(value != empty && !this->find(key));
    if ((this->count + 1) * 2 > this->entries.size())
        this->grow();
    std::size_t place = this->home(key);
    while (this->entries[place].value != empty)
        place = (place + 1) & (this->entries.size() - 1);
    this->entries[place] = {key, value};
    ++this->count;
}

void IdMap::erase(std::uint64_t key)
{
    if (this->entries.empty())
        return;
    const std::size_t mask = this->entries.size() - 1;
    std::size_t hole = this->home(key);
    while (this->entries[hole].value != empty && this->entries[hole].key != key)
        hole = (hole + 1) & mask;
    if (this->entries[hole].value == empty)
        return;
    --this->count;
    // Entries behind the hole move up if they were displaced past it.
    for (std::size_t place = (hole + 1) & mask; this->entries[place].value != empty;
         place = (place + 1) & mask) {
        const std::size_t wanted = this->home(this->entries[place].key);
        if (((place - wanted) & mask) < ((place - hole) & mask))
            continue;
        this->entries[hole] = this->entries[place];
        hole = place;
    }
    this->entries[hole] = {};
}

void IdMap::grow()
{
    std::vector<Entry> old;
    old.swap(this->entries);
    this->entries.resize(old.empty() ? firstSize : old.size() * 2);
    this->count = 0;
    for (const Entry &entry : old) {
        if (entry.value != empty)
            this->insert(entry.key, entry.value);
    }
}

} // namespace Hibiscus
