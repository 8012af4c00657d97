#pragma once

#include <Hibiscusd/EntryProcess.h>

#include <httplib.h>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Hibiscus {

/// The HTTP listeners of an entry instance: callers, urgent callers, operators and health, each
/// with threads of its own, so that a flood on one takes nothing from another.
class HttpFront
{
public:
    HttpFront(const InstanceSettings &settings, EntryShared &shared, EntryProcess &process);
    ~HttpFront();

    /// Starts all listeners. Findings name those that can't listen.
    Findings start();
    /// Stops accepting; calls under way are answered first.
    void stop();

private:
    using Handler = void (HttpFront::*)(const httplib::Request &, httplib::Response &);
    struct Listener
    {
        std::string name;
        ListenAddress address;
        std::unique_ptr<httplib::Server> server;
        std::thread thread;
    };

    httplib::Server &add(const std::string &name, const ListenAddress &address, std::size_t threads,
                         std::size_t largestBody);
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
    /// Has the machine render a page in its own thread.
    void writePage(std::function<std::string(const EntryMachine &, TimePoint)> render,
                   const char *type, httplib::Response &response);

    InstanceSettings settings;
    EntryShared &shared;
    EntryProcess &process;
    std::vector<Listener> listeners;
};

} // namespace Hibiscus
