#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace Hibiscus {

/// A small typed number; ids of different kinds do not mix.
template <class Tag, class Number = std::uint32_t>
struct Id
{
    Number value = 0;

    constexpr auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr)
};

/// A worker's index in the tables of one instance; dense, never sent to another process.
using WorkerId = Id<struct WorkerTag>;
/// A customer's index in the tables of one instance; dense, never sent to another process.
using CustomerId = Id<struct CustomerTag, std::uint16_t>;
/// A caller (one key of a customer) in the tables of one instance.
using CallerId = Id<struct CallerTag>;
/// A kind of work of one customer, as the caller names it; run times are learned per kind.
using KindId = Id<struct KindTag>;
/// A job known to one scheduler, never used twice.
using JobId = Id<struct JobTag, std::uint64_t>;
/// Matches an answer of the store, a worker or a peer to the call that caused it.
using CallId = Id<struct CallTag, std::uint64_t>;

} // namespace Hibiscus

template <class Tag, class Number>
struct std::hash<Hibiscus::Id<Tag, Number>>
{
    std::size_t operator()(const Hibiscus::Id<Tag, Number> &id) const noexcept
    {
        return std::hash<Number>()(id.value);
    }
};
