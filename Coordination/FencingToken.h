#pragma once

#include <compare>
#include <cstdint>

namespace Hibiscus::Coordination {

/// Fencing token of a leader's calls to one worker. A worker executes no call with a lower token
/// than the highest that it has seen.
///
/// The token rises with each term, and within a term when calls that were sent before must not be
/// executed any more. Its value stays below 2^53, the range of whole numbers in JSON, for 2^39
/// revisions of the store.
class FencingToken
{
public:
    /// Number of tokens in a term.
    static constexpr std::int64_t stepsOfTerm = 16384;

    FencingToken() = default;
    /// The lowest token of a term. `term` is the revision of the leader's key.
    explicit FencingToken(std::int64_t term)
        : number(term * stepsOfTerm)
    {}

    std::int64_t value() const { return this->number; }
    bool isHighestOfTerm() const { return this->number % stepsOfTerm == stepsOfTerm - 1; }
    /// Not to be called on the highest token of a term.
    FencingToken next() const
    {
        FencingToken raised;
        raised.number = this->number + 1;
        return raised;
    }

    auto operator<=>(const FencingToken &) const = default; // NOLINT(modernize-use-nullptr)

private:
    std::int64_t number = 0;
};

} // namespace Hibiscus::Coordination
