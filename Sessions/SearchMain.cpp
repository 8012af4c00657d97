// Runs seeded random histories and reports those that violate a guarantee of the scheduler.

#include <Sessions/History.h>

#include <atomic>
#include <cstdio>
#include <cxxopts.hpp>
#include <mutex>
#include <thread>

using namespace Hibiscus;

int main(int argc, char **argv)
{
    cxxopts::Options options("search-histories",
                             "Searches random histories for violated guarantees.");
    cxxopts::OptionAdder add = options.add_options();
    add("first", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("count", "Number of histories", cxxopts::value<std::uint64_t>()->default_value("1000"));
    add("steps", "Steps of each history", cxxopts::value<unsigned>()->default_value("30"));
    add("threads", "Number of threads", cxxopts::value<unsigned>()->default_value("4"));
    add("trace", "Print every message (use with --count 1)");
    const cxxopts::ParseResult given = options.parse(argc, argv);
    const auto first = given["first"].as<std::uint64_t>();
    const std::uint64_t end = first + given["count"].as<std::uint64_t>();
    std::atomic<std::uint64_t> next = first;
    std::atomic<std::uint64_t> bad = 0;
    std::mutex output;
    std::vector<std::jthread> threads;
    for (unsigned i = 0; i < given["threads"].as<unsigned>(); ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < end; seed = next++) {
                History history({seed, given["steps"].as<unsigned>(), given.count("trace") > 0});
                history.run();
                if (history.violations().empty())
                    continue;
                ++bad;
                const std::lock_guard lock(output);
                std::puts(history.violations().front().c_str());
            }
        });
    }
    threads.clear();
    std::printf("%llu histories, %llu with a violation\n",
                static_cast<unsigned long long>(end - first),
                static_cast<unsigned long long>(bad.load()));
    return bad == 0 ? 0 : 1;
}
