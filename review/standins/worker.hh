// Stand-in for a worker, a process of its own, as PROTOCOL.md describes it: runs with leases,
// fencing, ends with numbers, admission check. The text "spec" of a job tells it how its tasks
// behave: {"cpu", "memMb", "gpu"} of a task, "workMs" until it ends as done, and for tasks that
// last "lasts" and, where they fail, "failAfterMs" (a list; run and index of a task choose the
// entry).
//
// The answers have the fields of the examples that the pages print: "clockMs" in each answer with a
// body, "born" in the worker's entry and in its lists of runs.
#pragma once

#include "base.hh"
#include "http.hh"

#include <algorithm>
#include <condition_variable>
#include <utility>

namespace review {

class Worker
{
public:
    struct Settings
    {
        std::string id;
        std::string ip;
        unsigned short port = 0;
        std::string zone;
        std::string rack;
        std::string service;
        std::string store; ///< Where its heartbeats go.
        std::string address; ///< The registered one, its own or that of a proxy before it.
        std::int64_t stopMs = 400;
        std::int64_t cpu = 32000;
        std::int64_t memMb = 65536;
        std::int64_t gpu = 8;
    };

    Worker(const Settings &settings, Record &record)
        : settings(settings)
        , record(record)
        , born(unixMs())
        , bornSteady(steadyMs())
    {}

    void run()
    {
        const Server server(this->settings.ip, this->settings.port,
                            [this](const Request &request) { return this->handle(request); });
        this->log("serves, born " + std::to_string(this->born));
        std::thread([this] { this->beatLoop(); }).detach();
        for (;;) {
            sleepMs(5);
            this->advance();
        }
    }

private:
    static constexpr std::int64_t holdMaxMs = 6000;

    struct Run
    {
        std::int64_t run = 0;
        std::int64_t startedAt = 0;
        std::int64_t endsAt = 0;
        std::string end; ///< How it ends at `endsAt`.
        std::int64_t cpu = 0;
        std::int64_t memMb = 0;
        std::int64_t gpu = 0;
        bool stopping = false;
    };

    std::int64_t clock() const { return steadyMs() - this->bornSteady; }

    void log(const std::string &text)
    {
        this->record.line("worker " + this->settings.id + ": " + text);
    }

    void beatLoop()
    {
        for (std::int64_t seq = 1;; seq++) {
            const json entry = {{"backend", this->settings.service},
                                {"address", this->settings.address},
                                {"zone", this->settings.zone},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"coldRemainingMs", 0},
                                {"machine", "m-" + this->settings.id},
                                {"capacity",
                                 {{"cpu", this->settings.cpu},
                                  {"memMb", this->settings.memMb},
                                  {"gpu", this->settings.gpu}}},
                                {"labels", {"a", this->settings.rack}},
                                {"clockMs", this->clock()},
                                {"born", this->born},
                                {"seq", seq}};
            const Answer answer = call(this->settings.store, "POST", "/beat/" + this->settings.id,
                                       entry.dump(), {}, std::chrono::milliseconds(1000));
            if (seq == 1 || answer.status != 200)
                this->log("heartbeat " + std::to_string(seq)
                          + (answer.status == 200 ? " stored" : " not answered"));
            sleepMs(answer.status == 200 ? 1500 : 300);
        }
    }

    Response reply(int status, json body)
    {
        body["clockMs"] = this->clock();
        return {status, body.dump()};
    }

    Response handle(const Request &request)
    {
        if (request.path == "/health")
            return {200, "{}"};
        const auto expected = request.headers.find("Expect-Instance");
        if (expected != request.headers.end() && expected->second != this->settings.id)
            return this->reply(421, json::object());
        const json body = json::parse(request.body, nullptr, false);
        if (!body.is_object())
            return this->reply(400, json::object());
        std::unique_lock lock(this->mutex);
        const std::int64_t token = body.value("fencingToken", std::int64_t{0});
        if (token < this->highestToken)
            return this->reply(409, {{"reason", "fence"}});
        this->highestToken = token;
        if (request.path == "/run-start")
            return this->start(body);
        if (request.path == "/run-stop")
            return this->stop(body);
        if (request.path == "/hold")
            return this->hold(body, lock);
        return this->reply(400, json::object());
    }

    void extend(const json &body)
    {
        const std::int64_t asked = body.value("deadlineMs", std::int64_t{0});
        this->deadline = std::max(this->deadline, std::min(asked, this->clock() + holdMaxMs));
    }

    Response start(const json &body)
    {
        const std::string task = body["task"];
        const std::int64_t run = body["run"];
        const auto known = this->runs.find(task);
        if (known != this->runs.end() && known->second.run == run)
            return this->reply(200, json::object());
        if (known != this->runs.end() || run <= this->lastRun[task]) {
            this->extend(body);
            return this->reply(409, {{"reason", "old"}});
        }
        if (body["deadlineMs"].get<std::int64_t>() <= this->clock())
            return this->reply(409, {{"reason", "late"}});
        const json spec = json::parse(body["spec"].get<std::string>());
        Run fresh;
        fresh.run = run;
        fresh.cpu = spec["cpu"];
        fresh.memMb = spec["memMb"];
        fresh.gpu = spec["gpu"];
        std::int64_t cpu = fresh.cpu;
        std::int64_t memMb = fresh.memMb;
        std::int64_t gpu = fresh.gpu;
        for (const auto &[name, other] : this->runs) {
            cpu += other.cpu;
            memMb += other.memMb;
            gpu += other.gpu;
        }
        this->extend(body);
        if (cpu > this->settings.cpu || memMb > this->settings.memMb || gpu > this->settings.gpu)
            return this->reply(409, {{"reason", "room"}});
        fresh.startedAt = this->clock();
        fresh.end = "done";
        fresh.endsAt = fresh.startedAt + spec.value("workMs", std::int64_t{1000});
        if (spec.value("lasts", false)) {
            fresh.endsAt = INT64_MAX;
            const json &fails = spec["failAfterMs"];
            if (!fails.empty()) {
                fresh.end = "failed";
                const auto index
                    = static_cast<std::size_t>(std::stoi(task.substr(task.rfind('.') + 1)));
                const std::size_t entry
                    = (static_cast<std::size_t>(run) + 3 * index) % fails.size();
                fresh.endsAt = fresh.startedAt + fails[entry].get<std::int64_t>();
            }
        }
        this->runs[task] = fresh;
        this->log("starts " + task + " run " + std::to_string(run) + " for token "
                  + std::to_string(this->highestToken));
        return this->reply(200, json::object());
    }

    Response stop(const json &body)
    {
        const std::string task = body["task"];
        const std::int64_t run = body["run"];
        const auto known = this->runs.find(task);
        if (known == this->runs.end() || known->second.run != run) {
            this->lastRun[task] = std::max(this->lastRun[task], run);
            return this->reply(200, json::object());
        }
        if (!std::exchange(known->second.stopping, true)) {
            known->second.end = "stopped";
            known->second.endsAt = this->clock() + this->settings.stopMs * 3 / 4;
            this->log("is told to stop " + task + " run " + std::to_string(run));
        }
        return this->reply(200, json::object());
    }

    Response hold(const json &body, std::unique_lock<std::mutex> &lock)
    {
        this->extend(body);
        const std::int64_t acked = body.value("ackedUpto", std::int64_t{0});
        std::erase_if(this->ended,
                      [acked](const json &row) { return row[0].get<std::int64_t>() <= acked; });
        const std::int64_t wait = body.value("waitMs", std::int64_t{0});
        this->hasEnd.wait_for(lock, std::chrono::milliseconds(wait),
                              [this] { return !this->ended.empty(); });
        json running = json::array();
        for (const auto &[task, run] : this->runs)
            running.push_back({task, run.run, "", 100, 0.0});
        json ended = json::array();
        for (std::size_t i = 0; i < std::min<std::size_t>(this->ended.size(), 500); i++)
            ended.push_back(this->ended[i]);
        return this->reply(200, {{"born", this->born}, {"running", running}, {"ended", ended}});
    }

    void advance()
    {
        const std::lock_guard lock(this->mutex);
        const std::int64_t now = this->clock();
        for (auto entry = this->runs.begin(); entry != this->runs.end();) {
            const bool lapsed = now >= this->deadline;
            if (!lapsed && now < entry->second.endsAt) {
                ++entry;
                continue;
            }
            const std::string how = lapsed ? "lapsed" : entry->second.end;
            this->log("ends " + entry->first + " run " + std::to_string(entry->second.run) + " "
                      + how);
            this->ended.push_back(
                json::array({++this->lastEnd, entry->first, entry->second.run, how, ""}));
            this->lastRun[entry->first] = entry->second.run;
            entry = this->runs.erase(entry);
            this->hasEnd.notify_all();
        }
    }

    Settings settings;
    Record &record;
    std::int64_t born;
    std::int64_t bornSteady;
    std::mutex mutex;
    std::condition_variable hasEnd;
    std::int64_t highestToken = 0;
    std::int64_t deadline = 0;
    std::int64_t lastEnd = 0;
    std::map<std::string, Run> runs;
    std::map<std::string, std::int64_t> lastRun; ///< Highest run that ended or was stopped.
    std::vector<json> ended;
};

} // namespace review
