#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace Hibiscus {

/// A typed number; ids of different kinds cannot be mixed.
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
/// A kind of work as named by the customer's caller; run times are learned per kind.
using KindId = Id<struct KindTag>;
/// A job known to one scheduler; never reused.
using JobId = Id<struct JobTag, std::uint64_t>;
/// Correlates a response of the store, a worker or a peer with its request.
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
