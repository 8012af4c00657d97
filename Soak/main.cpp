#include <Soak/FaultSchedule.h>
#include <Soak/RetentionCheck.h>

#include <cstdio>
#include <cxxopts.hpp>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <numeric>
#include <sstream>

namespace {

using namespace Hibiscus;
namespace fs = std::filesystem;

constexpr Duration warmUp = seconds(2);
/// Time after the faults in which leases of lost runs expire and their tasks run again.
constexpr Duration maxRecoveryTime = seconds(60);

struct Options
{
    std::string program;
    fs::path folder;
    Duration faultTime{};
    std::size_t instances = 3;
    std::size_t workers = 8;
    std::vector<std::string> only;
    Duration maxPause{};
    bool waitingPollsAcknowledge = false;
    std::chrono::seconds retention{};
};

cxxopts::Options describeOptions()
{
    cxxopts::Options options(
        "hibiscus-soak",
        "Runs instances as real processes against fakes of the platform, injects faults drawn "
        "from a seed, and checks that no guarantee is violated.\n\nExit status: 0 if every seed "
        "passed, 1 otherwise.");
    cxxopts::OptionAdder add = options.add_options();
    add("program", "Path of hibiscus-node", cxxopts::value<std::string>());
    add("first", "First seed", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("count", "Number of seeds", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("seeds", "File with a seed at the start of each line; replaces first and count",
        cxxopts::value<std::string>());
    add("seconds", "Seconds during which faults are injected",
        cxxopts::value<int>()->default_value("15"));
    add("instances", "Number of instances", cxxopts::value<std::size_t>()->default_value("3"));
    add("workers", "Number of workers", cxxopts::value<std::size_t>()->default_value("8"));
    add("only", "Comma-separated names of the faults to inject, instead of the default ones",
        cxxopts::value<std::vector<std::string>>()->default_value(""));
    add("max-pause", "Maximum milliseconds between the starts of two faults",
        cxxopts::value<int>()->default_value("900"));
    add("waiting-polls-acknowledge",
        "Workers also discard the ends of a poll's acknowledgement when they answer it");
    add("retention", "Seconds for which the state of a finished job stays readable",
        cxxopts::value<int>()->default_value("120"));
    add("folder", "Folder for the logs of failed seeds",
        cxxopts::value<std::string>()->default_value("soak-logs"));
    add("help", "Print this help");
    return options;
}

void runUntil(boost::asio::io_context &loop, Soak::SoakSite &site, Duration span,
              const std::function<bool()> &done)
{
    const TimePoint end = site.now() + span;
    while (site.now() < end && !done()) {
        loop.run_for(milliseconds(50));
        site.restartStoppedInstances();
    }
}

/// Runs one seed; returns whether no guarantee was violated.
bool runSeed(std::uint64_t seed, const Options &options)
{
    const fs::path folder = options.folder / std::to_string(seed);
    fs::remove_all(folder);
    fs::create_directories(folder);
    boost::asio::io_context loop(1);
    Soak::SoakSite site(
        loop,
        {.seed = seed,
         .program = options.program,
         .folder = folder.string(),
         .instances = options.instances,
         .workers = options.workers,
         .moreSettings = "status_s = " + std::to_string(options.retention.count()) + "\n"});
    Soak::RetentionCheck retention(site.store, options.retention);
    Soak::SoakClients clients(loop, site, seed, {.variedRunTimes = !options.only.empty()});
    site.workers.waitingPollsAcknowledge = options.waitingPollsAcknowledge;
    Soak::FaultSchedule faults(loop, site, clients, seed,
                               {.maxPause = options.maxPause, .only = options.only});
    site.configure({"key-1"});
    clients.switchKey("key-1", site.now());
    const auto never = [&] {
        retention.observe(site.now());
        return false;
    };
    runUntil(loop, site, warmUp, never);
    clients.start();
    faults.start();
    runUntil(loop, site, options.faultTime, never);
    faults.stop();
    clients.stopSubmitting();
    // Faults in progress end by themselves.
    runUntil(loop, site, seconds(5), never);
    site.clearFaults();
    runUntil(loop, site, maxRecoveryTime, [&] { return never() || clients.allFinished(); });
    clients.checkFinalStates();
    site.stopAll();
    std::vector<std::string> violations = site.violations;
    violations.insert(violations.end(), clients.violations.begin(), clients.violations.end());
    violations.insert(violations.end(), site.workers.violations.begin(),
                      site.workers.violations.end());
    violations.insert(violations.end(), retention.violations.begin(), retention.violations.end());
    std::cout << "seed " << seed << ": " << (violations.empty() ? "kept" : "BROKEN") << "; "
              << clients.summary() << ", " << retention.forgottenCount()
              << " forgotten; faults: " << faults.summary() << std::endl;
    for (const std::string &violation : violations)
        std::cout << "  " << violation << std::endl;
    if (violations.empty())
        fs::remove_all(folder);
    return violations.empty();
}

std::vector<std::uint64_t> seedsOf(const cxxopts::ParseResult &arguments)
{
    std::vector<std::uint64_t> seeds;
    if (arguments.count("seeds") == 0) {
        seeds.resize(arguments["count"].as<std::uint64_t>());
        std::iota(seeds.begin(), seeds.end(), arguments["first"].as<std::uint64_t>());
        return seeds;
    }
    std::ifstream file(arguments["seeds"].as<std::string>());
    for (std::string line; std::getline(file, line);) {
        std::uint64_t seed = 0;
        if (std::istringstream(line) >> seed)
            seeds.push_back(seed);
    }
    return seeds;
}

int runWith(int argc, char **argv)
{
    cxxopts::Options described = describeOptions();
    const cxxopts::ParseResult arguments = described.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("program") == 0) {
        std::cout << described.help();
        return arguments.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    Options options;
    options.program = arguments["program"].as<std::string>();
    options.folder = arguments["folder"].as<std::string>();
    options.faultTime = seconds(arguments["seconds"].as<int>());
    options.instances = arguments["instances"].as<std::size_t>();
    options.workers = arguments["workers"].as<std::size_t>();
    if (arguments.count("only") > 0)
        options.only = arguments["only"].as<std::vector<std::string>>();
    options.maxPause = milliseconds(arguments["max-pause"].as<int>());
    options.retention = std::chrono::seconds(arguments["retention"].as<int>());
    options.waitingPollsAcknowledge = arguments.count("waiting-polls-acknowledge") > 0;
    bool passed = true;
    for (const std::uint64_t seed : seedsOf(arguments))
        passed = runSeed(seed, options) && passed;
    return passed ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runWith(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "the soak can't continue: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
