#include <StandIns/ProgramSignals.h>
#include <StandIns/StandInWorkerServer.h>

#include <cxxopts.hpp>
#include <iostream>
#include <random>

namespace {

using namespace Hibiscus;

constexpr int usageError = 2;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hibiscus-worker-standin", "Simulates one worker for tests.");
    cxxopts::OptionAdder add = options.add_options();
    add("name", "Name of the worker", cxxopts::value<std::string>()->default_value("worker"));
    add("host", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("port", "Port to listen on; 0 selects a free port",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("slots", "Number of slots, at most 32",
        cxxopts::value<std::uint16_t>()->default_value("8"));
    add("memory-mib", "Memory for tasks in MiB; 0 means no limit",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("connections", "Maximum number of concurrent connections",
        cxxopts::value<std::size_t>()->default_value("128"));
    add("run-log", "File to which starts and ends of tasks are appended",
        cxxopts::value<std::string>());
    add("help", "Print this help");
    return options;
}

StandInWorkerServer::Settings readSettings(const cxxopts::ParseResult &given)
{
    StandInWorkerServer::Settings settings;
    settings.worker.name = given["name"].as<std::string>();
    settings.worker.incarnation = std::to_string(std::random_device()());
    settings.worker.slots = given["slots"].as<std::uint16_t>();
    settings.worker.memoryMiB = given["memory-mib"].as<std::uint32_t>();
    settings.host = given["host"].as<std::string>();
    settings.port = given["port"].as<std::uint16_t>();
    settings.connections = given["connections"].as<std::size_t>();
    if (given.count("run-log") > 0)
        settings.runLogFile = given["run-log"].as<std::string>();
    return settings;
}

int run(int argc, char **argv)
{
    cxxopts::Options options = describeOptions();
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    const ProgramSignals signals;
    const StandInWorkerServer::Settings settings = readSettings(given);
    if (settings.worker.slots == 0 || settings.worker.slots > maxSlots) {
        std::cerr << "--slots: must be from 1 to " << maxSlots << '\n';
        return usageError;
    }
    StandInWorkerServer server(settings);
    const std::optional<std::uint16_t> port = server.start();
    if (!port) {
        std::cerr << "cannot listen on the given host and port; is the port in use?\n";
        return EXIT_FAILURE;
    }
    std::cout << *port << std::endl;
    signals.waitForTermination();
    return EXIT_SUCCESS;
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
