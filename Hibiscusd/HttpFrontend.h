#pragma once

#include <Hibiscusd/EntryProcess.h>

#include <httplib.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Hibiscus {

/// The HTTP listeners of an entry instance for callers, urgent callers, operators and health
/// checks. Each has its own threads, so that a flood on one listener does not affect the others.
class HttpFrontend
{
public:
    HttpFrontend(const InstanceSettings &settings, EntrySharedState &shared, EntryProcess &process);
    ~HttpFrontend();

    /// Starts all listeners and returns a finding for each that fails to listen.
    Findings start();
    /// Stops accepting connections and waits until the calls in progress are answered.
    void stop();

private:
    using Handler = void (HttpFrontend::*)(const httplib::Request &, httplib::Response &);
    struct Listener
    {
        std::string name;
        ListenAddress address;
        std::unique_ptr<httplib::Server> server;
        std::thread thread;
    };

    httplib::Server &addListener(const std::string &name, const ListenAddress &address,
                                 std::size_t threads, std::size_t largestBody);
    void addCallerRoutes(httplib::Server &server, bool urgentOnly);
    void addOperatorRoutes(httplib::Server &server);
    void addHealthRoutes(httplib::Server &server);
    httplib::Server::Handler route(Handler handler);

    std::optional<Principal> authenticate(const httplib::Request &request,
                                          httplib::Response &response, Role role);
    void submit(const httplib::Request &request, httplib::Response &response, bool urgentOnly);
    void poll(const httplib::Request &request, httplib::Response &response);
    void cancel(const httplib::Request &request, httplib::Response &response);
    void change(const httplib::Request &request, httplib::Response &response);
    void configuration(const httplib::Request &request, httplib::Response &response);
    void status(const httplib::Request &request, httplib::Response &response);
    void drain(const httplib::Request &request, httplib::Response &response);
    void metrics(const httplib::Request &request, httplib::Response &response);
    void writeAnswer(CallTable<CallerAnswer>::Ticket &ticket, const std::string &requestId,
                     httplib::Response &response);
    /// Writes a page that `render` makes in the actor's thread.
    void writePage(std::function<std::string(const EntryMachine &, TimePoint)> render,
                   const char *type, httplib::Response &response);

    InstanceSettings settings;
    EntrySharedState &shared;
    EntryProcess &process;
    std::vector<Listener> listeners;
};

} // namespace Hibiscus
