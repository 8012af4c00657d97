#pragma once

#include <Runtime/HttpClient.h>
#include <Soak/SoakSite.h>

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>
#include <vector>

namespace Hibiscus::Soak {

/// Clients that hand jobs in, ask for their states and cancel some, over connections that they keep
/// open. Notes what they were told, and what of it breaks a promise.
class SoakClients
{
public:
    struct Settings
    {
        Duration patience = seconds(3); ///< For one answer.
        Duration between = milliseconds(120); ///< Two new jobs.
        Duration statePoll = milliseconds(600);
        std::size_t mostTries = 6; ///< Of one submission, while its fate is open.
        std::size_t cancelOneOf = 12;
        std::size_t mostOpen = 40; ///< Jobs that are not over; no new ones beyond.
    };

    SoakClients(boost::asio::io_context &loop, SoakSite &site, std::uint64_t seed,
                const Settings &settings);

    /// Begins to hand jobs in.
    void start();
    /// Hands no more in; goes on asking for states.
    void close() { this->closed = true; }
    /// Keys that are used from now on, and those that must not be served any more.
    void useKey(const std::string &key, TimePoint now);

    /// Whether all accepted jobs are over.
    bool allOver() const;
    /// Checks that can be made only at the end.
    void judge();
    std::string summary() const;

    std::vector<std::string> violations;

private:
    enum class Fate : std::uint8_t {
        Open, ///< No answer yet that tells.
        Accepted,
        Refused, ///< "Not run".
        Unknown, ///< Given up without an answer.
    };
    struct ClientJob
    {
        std::string id;
        std::string path;
        std::string body;
        std::string key;
        std::int32_t tasks = 1;
        bool fails = false;
        Fate fate = Fate::Open;
        std::size_t tries = 0;
        bool anyUnanswered = false;
        bool cancelSent = false;
        bool cancelled = false;
        std::string state;
    };

    void handIn();
    void submit(ClientJob &job);
    void submitted(ClientJob &job, const Runtime::HttpResult &result, TimePoint sentAt);
    void askState(ClientJob &job);
    void stateTold(ClientJob &job, const Runtime::HttpResult &result);
    void cancel(ClientJob &job);
    Runtime::HttpClient &anyInstance();
    Runtime::HttpCall callOf(const ClientJob &job, boost::beast::http::verb verb) const;
    void later(Duration delay, std::function<void()> step);
    static bool isFinal(const std::string &state);

    boost::asio::io_context &loop;
    SoakSite &site;
    Settings settings;
    pcg32 random;
    std::vector<std::unique_ptr<Runtime::HttpClient>> instances;
    std::map<std::string, std::unique_ptr<ClientJob>> jobs;
    std::string key;
    std::map<std::string, TimePoint> revoked; ///< Keys, and since when.
    std::size_t number = 0;
    bool closed = false;
};

} // namespace Hibiscus::Soak
