#include <Node/NodeProcess.h>
#include <platform/Formats.h>

#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace Hibiscus;

constexpr const char *version = "hibiscus-node 0.1.0";
constexpr int usageError = 2;

/// Holds back the signals that the process handles until it can handle them. Their default action
/// would end the process, and ignoring a SIGHUP would lose a change of the settings.
class HeldSignals
{
public:
    HeldSignals()
    {
        sigemptyset(&this->held);
        for (const int signal : {SIGHUP, SIGTERM, SIGINT})
            sigaddset(&this->held, signal);
        pthread_sigmask(SIG_BLOCK, &this->held, nullptr);
    }

    /// Delivers the held signals, and later ones at once, also those that the process has inherited
    /// as blocked.
    void release() const { pthread_sigmask(SIG_UNBLOCK, &this->held, nullptr); }

private:
    sigset_t held{};
};

cxxopts::Options describeOptions()
{
    cxxopts::Options options("hibiscus-node",
                             "Instance of the hibiscusarch scheduler on the users' platform.\n\n"
                             "Exit status: 0 after a graceful stop, 1 if it can't run, 2 for a "
                             "wrong command line or wrong settings.");
    cxxopts::OptionAdder add = options.add_options();
    add("settings",
        "The platform's settings file; default: the file named by the platform's variable",
        cxxopts::value<std::string>());
    add("metrics-port", "Port on the instance's address for the metrics server; 0 disables it",
        cxxopts::value<unsigned short>()->default_value("0"));
    add("check-settings", "Check the settings, print all findings and exit");
    add("version", "Print the version");
    add("help", "Print this help");
    return options;
}

std::string settingsFileOf(const cxxopts::ParseResult &arguments)
{
    if (arguments.count("settings") > 0)
        return arguments["settings"].as<std::string>();
    const char *file = std::getenv(Platform::settingsVariable);
    return file ? file : "";
}

tl::expected<Tasks::SiteSettings, std::string> readSettings(const std::string &file)
{
    const std::ifstream stream(file, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    if (!stream)
        return tl::unexpected("\"" + file + "\" can't be read\n");
    const tl::expected<Tasks::SiteSettings, Findings> settings
        = Platform::decodeSettings(text.str());
    if (!settings)
        return tl::unexpected(settings.error().toString());
    return *settings;
}

int serve(const cxxopts::ParseResult &arguments, const HeldSignals &signals)
{
    Node::NodeProcess::Settings settings;
    settings.settingsFile = settingsFileOf(arguments);
    settings.metricsPort = arguments["metrics-port"].as<unsigned short>();
    const tl::expected<Tasks::SiteSettings, std::string> site = readSettings(settings.settingsFile);
    if (!site) {
        std::cerr << site.error();
        return usageError;
    }
    if (arguments.count("check-settings") > 0)
        return EXIT_SUCCESS;
    std::signal(SIGPIPE, SIG_IGN);
    Node::NodeProcess process(settings, *site);
    signals.release();
    return process.run();
}

int runWith(int argc, char **argv, const HeldSignals &signals)
{
    cxxopts::Options options = describeOptions();
    const cxxopts::ParseResult arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
        std::cout << version << "\n";
        return EXIT_SUCCESS;
    }
    return serve(arguments, signals);
}

} // namespace

int main(int argc, char **argv)
{
    const HeldSignals signals;
    try {
        return runWith(argc, argv, signals);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << error.what() << "\n";
        return usageError;
    } catch (const std::exception &error) {
        std::cerr << "can't run: " << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
