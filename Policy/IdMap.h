#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace Hibiscus {

/// Hash map from 64-bit keys to 32-bit indexes: open addressing with linear probing and
/// backward-shift deletion instead of tombstones. Meant for the hot path: allocates only when it
/// grows beyond its largest previous size.
class IdMap
{
public:
    std::optional<std::uint32_t> find(std::uint64_t key) const;
    /// The key must not be present.
    void insert(std::uint64_t key, std::uint32_t value);
    /// Does nothing if the key is absent.
    void erase(std::uint64_t key);
    std::size_t size() const { return this->count; }

private:
    static constexpr std::uint32_t empty = ~std::uint32_t(0);

    struct Entry
    {
        std::uint64_t key = 0;
        std::uint32_t value = empty;
    };

    std::size_t homeIndex(std::uint64_t key) const;
    void grow();

    std::vector<Entry> entries; ///< The size is a power of two.
    std::size_t count = 0;
};

} // namespace Hibiscus
