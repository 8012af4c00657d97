#pragma once

#include <cstdint>
#include <string>

namespace Scene {

/// Milliseconds since the start of the scene, by the steady clock.
std::int64_t nowMs();
/// Unix milliseconds.
std::int64_t unixMs();
void sleepMs(std::int64_t ms);

/// Opens the record. Each line begins with the time in ms since the start of the scene.
void openRecord(const std::string &file);
void note(const std::string &line);

} // namespace Scene
