#pragma once

#include <Core/Time.h>

#include <cstdint>
#include <string>

namespace Hibiscus {

/// One bit per slot of a worker; bit i also identifies accelerator i.
using SlotMask = std::uint32_t;
inline constexpr std::uint16_t maxSlots = 32;

/// A worker as described by the platform's list.
struct WorkerDescription
{
    std::string name;
    std::string dataCenter;
    std::uint32_t rack = 0; ///< Racks with consecutive numbers are neighbours.
    std::uint16_t slots = 8; ///< Concurrent tasks, at most maxSlots.
    std::uint16_t accelerators = 8; ///< 0, or as many as slots.
    std::uint32_t memoryMiB = 0;
    /// Concurrent connections to the worker that all instances together may open.
    std::uint16_t connections = 60;
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    bool leaving = false;

    bool operator==(const WorkerDescription &) const = default;
};

/// An entry instance as described by the platform's list.
struct InstanceDescription
{
    std::string name;
    std::string dataCenter;
    std::string host;
    std::uint16_t port = 0; ///< Port of the instance's peer listener.
    bool leaving = false;

    bool operator==(const InstanceDescription &) const = default;
};

} // namespace Hibiscus
