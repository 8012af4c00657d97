#include "Record.h"

#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>

namespace Scene {

namespace {

const auto begin = std::chrono::steady_clock::now();
std::mutex recordMutex;
std::FILE *record = nullptr;

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - begin)
        .count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void openRecord(const std::string &file)
{
    record = std::fopen(file.c_str(), "w");
}

void note(const std::string &line)
{
    const std::lock_guard<std::mutex> lock(recordMutex);
    if (!record)
        return;
    std::fprintf(record, "%7lld  %s\n", static_cast<long long>(nowMs()), line.c_str());
    std::fflush(record);
}

} // namespace Scene
