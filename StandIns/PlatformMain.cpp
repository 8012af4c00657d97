#include <StandIns/ProgramSignals.h>
#include <StandIns/StandInPlatformServer.h>

#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Hibiscus;

constexpr int usageError = 2;

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hibiscus-platform-standin",
                             "Simulates the platform's store and live list for tests.");
    cxxopts::OptionAdder add = options.add_options();
    add("host", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"));
    add("port", "Port to listen on; 0 selects a free port",
        cxxopts::value<std::uint16_t>()->default_value("0"));
    add("live", "JSON file with the initial live list", cxxopts::value<std::string>());
    add("lag-ms", "Delay in ms until a change of the live list is visible",
        cxxopts::value<std::uint32_t>()->default_value("0"));
    add("connections", "Maximum number of concurrent connections",
        cxxopts::value<std::size_t>()->default_value("128"));
    add("help", "Print this help");
    return options;
}

bool readLiveList(const std::string &file, StandInPlatformServer &server)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    const tl::expected<LiveList, Findings> list = parseLiveList(text.str());
    const Findings &findings = list ? list->leftOut : list.error();
    if (findings.isEmpty())
        server.setLiveList(*list);
    else
        std::cerr << file << ":\n" << findings.toString();
    return findings.isEmpty();
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
    StandInPlatformServer server({.host = given["host"].as<std::string>(),
                                  .port = given["port"].as<std::uint16_t>(),
                                  .liveListLag = milliseconds(given["lag-ms"].as<std::uint32_t>()),
                                  .connections = given["connections"].as<std::size_t>()});
    if (given.count("live") > 0 && !readLiveList(given["live"].as<std::string>(), server))
        return usageError;
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
