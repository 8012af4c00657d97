#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <string>

namespace Hibiscus {

/// One bit a slot of a worker; bit i also names accelerator i.
using SlotMask = std::uint32_t;
inline constexpr std::uint16_t maxSlots = 32;

/// A worker as the platform's list describes it.
struct WorkerDescription
{
    std::string name;
    std::string dataCenter;
    std::uint32_t rack = 0; ///< Racks with following numbers are neighbours.
    std::uint16_t slots = 8; ///< Tasks at a time, at most maxSlots.
    std::uint16_t accelerators = 8; ///< 0, or as many as slots.
    std::uint32_t memoryMiB = 0;
    std::uint16_t connections = 60; ///< That may be open to it at a time, from all instances.
    std::string host; ///< IP number.
    std::uint16_t port = 0;
    bool leaving = false;

    bool operator==(const WorkerDescription &) const = default;
};

/// An entry instance as the platform's list describes it.
struct InstanceDescription
{
    std::string name;
    std::string dataCenter;
    std::string host;
    std::uint16_t port = 0; ///< Of its peer listener.
    bool leaving = false;

    bool operator==(const InstanceDescription &) const = default;
};

} // namespace Hibiscus
