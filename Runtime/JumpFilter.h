#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <optional>

namespace Hibiscus::Runtime {

/// Wall-clock time that follows a jump of the machine's clock only after a while. A clock that
/// jumps and jumps back would make jobs look late, not due or forgotten for as long as it is off.
class JumpFilter
{
public:
    struct Settings
    {
        Duration tolerance = milliseconds(250); ///< Smaller differences are followed at once.
        /// A jump is followed once the clock has kept its new time for this long.
        Duration confirmation = seconds(20);
    };

    explicit JumpFilter(const Settings &settings)
        : settings(settings)
    {}

    /// Returns the filtered time in milliseconds since 1970 for the machine's time `wallMs`.
    std::int64_t filter(std::int64_t wallMs, TimePoint now);
    /// The size of a jump that the last call met first; forwards is positive.
    std::optional<Duration> newJump() const { return this->jump; }

private:
    Duration distance(std::int64_t leftMs, std::int64_t rightMs) const;

    Settings settings;
    std::optional<std::int64_t> offsetMs; ///< Difference of wall time and steady time in use.
    std::optional<std::int64_t> jumpedOffsetMs; ///< That of a jump that is not followed yet.
    TimePoint jumpedAt{};
    std::optional<Duration> jump;
};

} // namespace Hibiscus::Runtime
