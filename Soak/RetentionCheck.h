#pragma once

#include <Core/Time.h>
#include <FakeStore.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Hibiscus::Soak {

/// Checks in the store that the final state of each job stays readable for the retention.
class RetentionCheck
{
public:
    RetentionCheck(const Coordination::Test::FakeStore &store, Duration retention)
        : store(store)
        , retention(retention)
    {}

    /// Looks at the store; called at least every 100 ms.
    void observe(TimePoint now);
    std::size_t forgottenCount() const { return this->forgotten; }

    std::vector<std::string> violations;

private:
    const Coordination::Test::FakeStore &store;
    Duration retention;
    std::map<std::string, TimePoint> finalSince; ///< When a final state was first seen, by key.
    std::size_t forgotten = 0;
};

} // namespace Hibiscus::Soak
