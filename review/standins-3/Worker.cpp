#include "Worker.h"
#include "Record.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace Scene {

using nlohmann::json;

namespace {

constexpr std::int64_t longestLeaseMs = 6000; ///< `holdMaxMs` of the settings.
constexpr std::int64_t stopMs = 200; ///< Below `stopMs` of the settings.
constexpr std::int64_t heartbeatMs = 1500;
constexpr std::int64_t silentBeats = 3; ///< Heartbeats without which an entry is removed.
constexpr std::int64_t longestCallMs = 3000; ///< No caller waits for longer.
constexpr std::size_t endsPerAnswer = 500;

} // namespace

Worker::Worker(Store &store, const std::string &id, const std::string &service,
               const std::string &rack, const Capacity &capacity)
    : store(store)
    , id(id)
    , service(service)
    , rack(rack)
    , capacity(capacity)
    , born(unixMs())
    , bornAt(nowMs())
{
    this->server = std::make_unique<Server>(
        [this](const Request &request) { return this->handle(request); });
    this->writeEntry();
    std::thread([this] {
        while (true) {
            sleepMs(10);
            this->tick();
        }
    }).detach();
}

std::int64_t Worker::clock() const
{
    return nowMs() - this->bornAt + 1;
}

/// The entry changes when more than `seq` does, so it is written at the start of each process.
void Worker::writeEntry()
{
    json entry;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->up || this->gone || !this->reachesStore)
            return;
        json room = {{"cpu", this->capacity.cpu}, {"memMb", this->capacity.memMb}};
        // Fields whose value is 0 are omitted.
        if (this->capacity.gpu > 0)
            room["gpu"] = this->capacity.gpu;
        entry = {{"backend", this->service},
                 {"address", this->server->address()},
                 {"zone", "zone-a"},
                 {"version", "1"},
                 {"slots", 8},
                 {"state", "ready"},
                 {"seq", ++this->seq},
                 {"capacity", room},
                 {"labels", {"a", this->rack}},
                 {"machine", "m-" + this->id},
                 {"born", this->born}};
    }
    this->store.put("servers/" + this->id, entry.dump());
}

void Worker::crash()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->up = false;
    for (const auto &[task, run] : this->runs)
        this->seen(this->id, task, run.number, "lost with its worker");
    this->runs.clear();
    this->ends.clear();
    this->ended.notify_all();
    note("worker " + this->id + " crashes");
}

void Worker::startAgain()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->up = true;
        this->life++;
        this->born = unixMs();
        this->bornAt = nowMs();
        this->seq = 0;
        this->leaseEnd = 0;
        this->highestToken = 0;
        this->highestEnded.clear();
        this->lastEnd = 0;
        note("worker " + this->id + " starts again under its id, as process "
             + std::to_string(this->life));
    }
    this->writeEntry();
}

void Worker::leaveForGood()
{
    this->crash();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->gone = true;
        this->isCut = true;
    }
    std::thread([this] {
        sleepMs(silentBeats * heartbeatMs);
        this->store.remove("servers/" + this->id);
        note("the entry of worker " + this->id + " is removed");
    }).detach();
}

void Worker::cutOff()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isCut = true;
        this->reachesStore = false;
        this->ended.notify_all();
        note("worker " + this->id + " is cut off from all machines and the store");
    }
    std::thread([this] {
        sleepMs(silentBeats * heartbeatMs);
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            if (!this->isCut)
                return;
        }
        this->store.remove("servers/" + this->id);
        note("the entry of worker " + this->id + " is removed");
    }).detach();
}

void Worker::cutOffFromStore()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->reachesStore = false;
    note("worker " + this->id + " is cut off from the store");
}

void Worker::reconnect()
{
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->isCut = false;
        this->reachesStore = true;
        note("the cut of worker " + this->id + " has healed");
    }
    this->writeEntry();
}

bool Worker::isRunning(const std::string &task) const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs.contains(task);
}

std::size_t Worker::runningCount() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs.size();
}

Response Worker::handle(const Request &request)
{
    bool isSilent = false;
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->up && !this->isCut)
            return {0, ""};
        isSilent = this->isCut;
    }
    if (isSilent) {
        sleepMs(longestCallMs);
        return {0, ""};
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return {400, "{}"};
    const auto instance = request.headers.find("expect-instance");
    if (instance != request.headers.end() && instance->second != this->id)
        return {421, "{}"};
    if (request.path == "/run-start") {
        const std::string task = body.at("task");
        const int run = body.at("run");
        const OrderFate fate = this->fateOf ? this->fateOf(task, run) : OrderFate{};
        if (fate.lateMs > 0) {
            note("worker " + this->id + ": the start of " + task + ", run " + std::to_string(run)
                 + ", gets no answer and is carried out " + std::to_string(fate.lateMs)
                 + " ms later");
            std::thread([this, body, fate] {
                sleepMs(fate.lateMs);
                const std::lock_guard<std::mutex> lock(this->mutex);
                if (!this->up)
                    return;
                const Response response = this->start(body);
                note("worker " + this->id + ": the late start of "
                     + body.at("task").get<std::string>() + " is carried out with status "
                     + std::to_string(response.status) + " " + response.body);
            }).detach();
            // The caller waits for longer than for any answer.
            sleepMs(longestCallMs);
            return {0, ""};
        }
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->start(body);
    }
    if (request.path == "/run-stop") {
        const std::lock_guard<std::mutex> lock(this->mutex);
        return this->stop(body);
    }
    if (request.path == "/hold")
        return this->hold(body);
    return {404, "{}"};
}

Response Worker::refuse(const char *reason) const
{
    return {409, json{{"clockMs", this->clock()}, {"reason", reason}}.dump()};
}

bool Worker::isFenced(const json &body)
{
    const std::int64_t token = body.value("fencingToken", std::int64_t{0});
    if (token < this->highestToken)
        return true;
    this->highestToken = token;
    return false;
}

void Worker::extendLease(const json &body)
{
    const std::int64_t wanted = body.value("deadlineMs", std::int64_t{0});
    this->leaseEnd = std::max(this->leaseEnd, std::min(wanted, this->clock() + longestLeaseMs));
}

bool Worker::hasRoom(const std::string &task) const
{
    Capacity left = this->capacity;
    const auto take = [&left](const Capacity &need) {
        left.cpu -= need.cpu;
        left.memMb -= need.memMb;
        left.gpu -= need.gpu;
    };
    for (const auto &[name, run] : this->runs)
        take(this->needOf(name));
    take(this->needOf(task));
    return left.cpu >= 0 && left.memMb >= 0 && left.gpu >= 0;
}

Response Worker::start(const json &body)
{
    const std::string task = body.at("task");
    const int number = body.at("run");
    if (this->isFenced(body))
        return this->refuse("fence");
    const auto known = this->runs.find(task);
    if (known != this->runs.end() && known->second.number == number) {
        this->extendLease(body);
        return {200, json{{"clockMs", this->clock()}}.dump()};
    }
    const auto old = this->highestEnded.find(task);
    if (known != this->runs.end() || (old != this->highestEnded.end() && number <= old->second)) {
        this->extendLease(body);
        return this->refuse("old");
    }
    if (body.value("deadlineMs", std::int64_t{0}) <= this->clock())
        return this->refuse("late");
    this->extendLease(body);
    if (!this->hasRoom(task))
        return this->refuse("room");
    this->runs[task] = {number, nowMs(), this->workMs(body.value("spec", "")), 0};
    this->seen(this->id, task, number, "start");
    return {200, json{{"clockMs", this->clock()}}.dump()};
}

Response Worker::stop(const json &body)
{
    const std::string task = body.at("task");
    const int number = body.at("run");
    if (this->isFenced(body))
        return this->refuse("fence");
    int &highest = this->highestEnded[task];
    highest = std::max(highest, number);
    const auto known = this->runs.find(task);
    if (known != this->runs.end() && known->second.number == number && known->second.stopsAt == 0)
        known->second.stopsAt = nowMs() + stopMs;
    return {200, json{{"clockMs", this->clock()}}.dump()};
}

Response Worker::hold(const json &body)
{
    std::unique_lock<std::mutex> lock(this->mutex);
    if (this->isFenced(body))
        return this->refuse("fence");
    this->extendLease(body);
    const std::int64_t acked = body.value("ackedUpto", std::int64_t{0});
    std::erase_if(this->ends, [acked](const End &end) { return end.number <= acked; });
    const int lifeBefore = this->life;
    const std::int64_t until
        = nowMs() + std::min<std::int64_t>(body.value("waitMs", std::int64_t{0}), 2000);
    while (this->up && !this->isCut && this->life == lifeBefore && this->ends.empty()
           && nowMs() < until)
        this->ended.wait_for(lock, std::chrono::milliseconds(until - nowMs()));
    if (!this->up || this->isCut || this->life != lifeBefore)
        return {0, ""};
    json running = json::array();
    for (const auto &[task, run] : this->runs) {
        const std::int64_t percent = run.workMs > 0
            ? std::min<std::int64_t>(99, (nowMs() - run.startedAt) * 100 / run.workMs)
            : 100;
        running.push_back({task, run.number, "", percent, 0});
    }
    json list = json::array();
    for (const End &end : this->ends) {
        if (list.size() < endsPerAnswer)
            list.push_back({end.number, end.task, end.run, end.how, ""});
    }
    return {
        200,
        json{
            {"clockMs", this->clock()}, {"born", this->born}, {"running", running}, {"ended", list}}
            .dump()};
}

void Worker::tick()
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (!this->up)
        return;
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto &[task, run] : this->runs) {
        if (this->clock() > this->leaseEnd)
            over.emplace_back(task, "lapsed");
        else if (run.stopsAt != 0 && nowMs() >= run.stopsAt)
            over.emplace_back(task, "stopped");
        else if (run.workMs >= 0 && nowMs() >= run.startedAt + run.workMs)
            over.emplace_back(task, "done");
    }
    for (const auto &[task, how] : over)
        this->end(task, how);
}

void Worker::end(const std::string &task, const std::string &how)
{
    const Run run = this->runs.at(task);
    this->runs.erase(task);
    int &highest = this->highestEnded[task];
    highest = std::max(highest, run.number);
    this->ends.push_back({++this->lastEnd, task, run.number, how});
    this->seen(this->id, task, run.number, how);
    this->ended.notify_all();
}

} // namespace Scene
