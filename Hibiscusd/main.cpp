#include <Hibiscusd/EntryProcess.h>
#include <Hibiscusd/HttpFrontend.h>
#include <Hibiscusd/Log.h>

#include <caf/all.hpp>
#include <caf/io/all.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Hibiscus;

constexpr const char *component = "main";
constexpr const char *version = "hibiscusd 0.1.0";
constexpr int usageError = 2;
constexpr std::size_t shortestClusterKey = 16; ///< Bytes.
constexpr Duration drainPollInterval = milliseconds(50);

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hibiscusd",
                             "Entry instance of the hibiscusarch scheduler.\n\n"
                             "Exit status: 0 after a graceful stop, 1 if the instance can't "
                             "run, 2 for an invalid command line or invalid settings.");
    cxxopts::OptionAdder add = options.add_options();
    add("settings", "The instance's settings (JSON)", cxxopts::value<std::string>());
    add("check-settings", "Check the settings, print all findings and exit");
    add("version", "Print the version");
    add("help", "Print this help");
    return options;
}

tl::expected<std::string, std::string> readFile(const std::string &name)
{
    const std::ifstream file(name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
        return tl::unexpected(name + ": can't be read");
    return text.str();
}

tl::expected<InstanceSettings, std::string> readSettings(const std::string &name)
{
    const tl::expected<std::string, std::string> text = readFile(name);
    if (!text)
        return tl::unexpected(text.error());
    tl::expected<InstanceSettings, Findings> settings = parseInstanceSettings(*text);
    if (!settings)
        return tl::unexpected(name + ":\n" + settings.error().toString());
    return std::move(*settings);
}

/// Blocks the termination signals in all threads, so that one thread can wait for them.
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Waits for a termination signal or for the end of a drain that an operator requested.
void waitForStop(const sigset_t &signals, const EntrySharedState &shared)
{
    const timespec wait{0, std::chrono::nanoseconds(drainPollInterval).count()};
    while (sigtimedwait(&signals, nullptr, &wait) < 0) {
        if (shared.drained)
            return;
    }
}

void drain(EntryProcess &process, const EntrySharedState &shared, Duration limit)
{
    process.post(
        {[](EntryMachine &machine, TimePoint now, EntryActions &out) { machine.drain(now, out); }});
    const TimePoint end = EntryProcess::currentTime() + limit;
    while (!shared.drained && EntryProcess::currentTime() < end)
        std::this_thread::sleep_for(drainPollInterval);
    if (!shared.drained)
        writeLog(LogLevel::Warn, component, "The drain exceeded its time limit; stopping now.");
}

int serve(const InstanceSettings &settings, const std::string &clusterKey)
{
    const sigset_t signals = blockSignals();
    setUpLog(settings.log, settings.instance);
    caf::actor_system_config config;
    config.load<caf::io::middleman>();
    caf::actor_system system(config);
    EntrySharedState shared;
    EntryProcess process(system, settings, clusterKey, shared);
    HttpFrontend http(settings, shared, process);
    const Findings findings = http.start();
    if (!findings.isEmpty()) {
        std::cerr << findings.toString();
        http.stop();
        process.stop();
        return EXIT_FAILURE;
    }
    writeLog(LogLevel::Info, component, "Serving calls.");
    waitForStop(signals, shared);
    drain(process, shared, settings.drain);
    http.stop();
    process.stop();
    writeLog(LogLevel::Info, component, "Stopped.");
    return EXIT_SUCCESS;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0 || given.count("version") > 0) {
        std::cout << (given.count("help") > 0 ? options.help() : std::string(version)) << '\n';
        return EXIT_SUCCESS;
    }
    if (given.count("settings") == 0) {
        std::cerr << "--settings is required; see --help\n";
        return usageError;
    }
    const auto settings = readSettings(given["settings"].as<std::string>());
    if (!settings) {
        std::cerr << settings.error() << '\n';
        return usageError;
    }
    auto clusterKey = readFile(settings->peers.clusterKeyFile);
    if (!clusterKey) {
        std::cerr << "/peers/clusterKeyFile: " << clusterKey.error() << '\n';
        return usageError;
    }
    // A line feed that an editor adds at the end of the file is not part of the key.
    while (!clusterKey->empty() && clusterKey->back() == '\n')
        clusterKey->pop_back();
    if (clusterKey->size() < shortestClusterKey) {
        std::cerr << "/peers/clusterKeyFile: holds fewer than 16 bytes\n";
        return usageError;
    }
    if (given.count("check-settings") > 0) {
        std::cout << "The settings are valid.\n";
        return EXIT_SUCCESS;
    }
    return serve(*settings, *clusterKey);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return usageError;
    }
}
