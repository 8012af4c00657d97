#include "Scene.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Scene {

using nlohmann::json;

namespace {

constexpr const char *program = "target/Node/hibiscus-node";
constexpr int metricsPort = 7001; ///< Of the deploy file's command.
constexpr const char *service = "svc-a";

/// Returns a loopback address on which the deploy file's port is free.
std::string freeAddress()
{
    static std::mt19937 random(std::random_device{}());
    for (int i = 0; i < 100; i++) {
        const auto part = [](std::uint32_t range) { return std::to_string(1 + random() % range); };
        std::string ip = "127." + part(250) + "." + part(250) + "." + part(250);
        if (freePort(ip, metricsPort) != 0)
            return ip;
    }
    throw std::runtime_error("no free loopback address");
}

Deployment *deployment = nullptr; ///< Of this process' scene.

std::string jobOfTask(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

} // namespace

Verdict conclude(bool broken, const std::string &why)
{
    note(std::string(broken ? "RULE BROKEN: " : "RULE HELD: ") + why);
    return broken ? Broken : Held;
}

std::int64_t timeTogether(const std::vector<SeenRun> &runs)
{
    const auto endOf = [](const SeenRun &run) { return run.endedAt == 0 ? nowMs() : run.endedAt; };
    std::int64_t longest = 0;
    for (std::size_t i = 0; i < runs.size(); i++) {
        for (std::size_t j = i + 1; j < runs.size(); j++) {
            const std::int64_t from = std::max(runs[i].beganAt, runs[j].beganAt);
            longest = std::max(longest, std::min(endOf(runs[i]), endOf(runs[j])) - from);
        }
    }
    return longest;
}

bool hasTrouble()
{
    const char *text = std::getenv("TROUBLE");
    return !text || std::string(text) != "0";
}

std::string jobOf(std::int64_t workMs, const json &steps)
{
    return json{{"spec", "work " + std::to_string(workMs)}, {"steps", steps}}.dump();
}

Deployment &Deployment::make(const std::vector<Route> &routes)
{
    deployment = new Deployment(routes);
    return *deployment;
}

void Deployment::end()
{
    if (deployment)
        deployment->endProcesses();
}

Deployment::Deployment(const std::vector<Route> &routes)
{
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    this->folder = pattern;
    json list = json::array();
    for (const Route &route : routes)
        list.push_back({{"name", route.name},
                        {"host", host},
                        {"prefix", route.prefix},
                        {"kind", "non_idempotent"},
                        {"timeoutMs", 3000},
                        {"targetLatencyMs", 1000},
                        {"priority", route.priority},
                        {"backend", service},
                        {"maxAttempts", 3},
                        {"stretch", 3.0},
                        {"noAuth", route.noAuth}});
    const json configuration
        = {{"version", 7},
           {"routes", list},
           {"services",
            {{{"name", service},
              {"healthPath", "/health"},
              {"maxConns", 64},
              {"protocol", "h1"},
              {"tls", false},
              {"admissionCheck", true},
              {"spare", false}}}},
           {"limits",
            {{"maxHeaderBytes", 16384},
             {"maxBodyBytes", 262144},
             {"headerTimeoutMs", 3000},
             {"idleTimeoutMs", 15000}}},
           {"tenants",
            {{{"name", "tenant-a"}, {"apiKeys", {key}}, {"guaranteed", {{"gpu", 8}}}},
             {{"name", "tenant-b"}, {"apiKeys", {otherKey}}, {"guaranteed", {{"gpu", 8}}}}}}};
    this->store.put("op/config", configuration.dump());
}

void Deployment::endProcesses()
{
    for (Node &node : this->nodes) {
        if (node.process <= 0)
            continue;
        kill(node.process, SIGKILL);
        waitpid(node.process, nullptr, 0);
    }
    std::error_code ignored;
    // KEEP=1 leaves the logs of the instances, for a look at them.
    const char *keep = std::getenv("KEEP");
    if (keep && std::string(keep) == "1")
        std::fprintf(stderr, "logs: %s\n", this->folder.c_str());
    else
        std::filesystem::remove_all(this->folder, ignored);
}

Worker &Deployment::addWorker(const std::string &id, const std::string &rack,
                              const Capacity &capacity)
{
    auto *worker = new Worker(this->store, id, service, rack, capacity);
    worker->workMs = [](const std::string &spec) {
        return std::strtoll(spec.substr(spec.find(' ') + 1).c_str(), nullptr, 10);
    };
    worker->seen = [this](const std::string &name, const std::string &task, int run,
                          const std::string &what) { this->seen(name, task, run, what); };
    worker->needOf = [this](const std::string &task) { return this->needOf(task); };
    this->workers.emplace(id, worker);
    return *worker;
}

Capacity Deployment::needOf(const std::string &task)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto steps = this->stepsOfJobs.find(jobOfTask(task));
    if (steps == this->stepsOfJobs.end())
        return {0, 0, 0};
    const std::size_t lastDot = task.rfind('.');
    const std::size_t dot = task.rfind('.', lastDot - 1);
    const json &step = steps->second.at(
        std::strtoul(task.substr(dot + 1, lastDot - dot - 1).c_str(), nullptr, 10));
    return {step.value("cpu", 0), step.value("memMb", 0), step.value("gpu", 0)};
}

void Deployment::seen(const std::string &worker, const std::string &task, int run,
                      const std::string &what)
{
    note("worker " + worker + ": " + task + ", run " + std::to_string(run) + ": " + what);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (what == "start") {
        this->runs.push_back({worker, task, run, nowMs(), 0, ""});
        return;
    }
    for (auto seenRun = this->runs.rbegin(); seenRun != this->runs.rend(); ++seenRun) {
        if (seenRun->worker == worker && seenRun->task == task && seenRun->run == run
            && seenRun->endedAt == 0) {
            seenRun->endedAt = nowMs();
            seenRun->how = what;
            return;
        }
    }
}

std::vector<SeenRun> Deployment::runsOf(const std::string &job)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::vector<SeenRun> found;
    for (const SeenRun &run : this->runs) {
        if (jobOfTask(run.task) == job)
            found.push_back(run);
    }
    return found;
}

void Deployment::writeSettings(Node &node, const std::string &storeAddress)
{
    std::ofstream file(node.settings);
    file << "node = \"" << node.name << "\"\nrole = \"entry\"\nmachineClass = \"edge\"\n"
         << "serves = [\"edge\"]\nip = \"" << node.ip << "\"\nzone = \"zone-a\"\n"
         << "region = \"region-a\"\ninternalPorts = [7000,7015]\nseeds = []\nbootstrap = true\n"
         << "lossCounts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeatMs = 1500\n"
         << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
         << "\"tenants\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"call\"\n"
         << "[zones]\nzone-a = \"region-a\"\n[listen]\nfront = \"" << node.front << "\"\nready = \""
         << node.ready << "\"\n[limits]\ncpuShare = 0.25\ncores = 1\n"
         << "memoryMb = 260\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 0\n"
         << "[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n"
         << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 3000\nackMs = 4000\n"
         << "catchUpS = 4\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\nconfigApplyMs = 2000\n"
         << "rollbackSlackMs = 250\nmaxStretchMs = 5000\nstrictRevoke = true\nrevokeMs = 5000\n"
         << "recoveryS = 12\nholdMaxMs = 6000\nstopMs = 400\ngangWaitMs = 3000\n"
         << "cancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\n"
         << "status_s = 120\nfarFactor = 3\ncheckpointIntervalS = 0.5\nrestoreMs = 100\n"
         << "noticeMs = 4500\nmoveS = 1.5\nmaintenanceS = 2\nrequireFencing = false\n"
         << "leaseMs = 3000\nthawMs = 300\npaceMs = 100\nharmMs = 4000\nreclaimMs = 2900\n"
         << "[platform]\naddress = \"" << storeAddress
         << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
         << "valueBytes = 1048576\nttlMinMs = 1000\n";
}

void Deployment::launch(Node &node)
{
    const pid_t process = fork();
    if (process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        setenv("HIBISCUSARCH_SETTINGS", node.settings.c_str(), 1);
        const int log = open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, 1);
        dup2(log, 2);
        execl(program, program, "--metrics-port", "7001", static_cast<char *>(nullptr));
        _exit(127);
    }
    node.process = process;
    note("node " + node.name + " is started");
}

void Deployment::startNodes(int count)
{
    for (int i = 0; i < count; i++) {
        Node node;
        node.name = "edge-zone-a-" + std::to_string(i + 1);
        node.ip = freeAddress();
        node.front = node.ip + ":" + std::to_string(freePort(node.ip, 0));
        node.ready = node.ip + ":" + std::to_string(freePort(node.ip, 0));
        node.settings = this->folder + "/" + node.name + ".toml";
        node.log = this->folder + "/" + node.name + ".log";
        this->writeSettings(node, this->store.openPort(node.name));
        this->nodes.push_back(node);
    }
    for (Node &node : this->nodes)
        this->launch(node);
    constexpr std::int64_t startMs = 15'000;
    const std::int64_t until = nowMs() + startMs;
    for (const Node &node : this->nodes) {
        while (call(node.ready, "GET", "/ready", {{"Host", node.ready}}, "", 500).status != 200) {
            if (nowMs() > until)
                throw std::runtime_error("node " + node.name + " does not become ready");
            sleepMs(50);
        }
    }
    while (this->leader() < 0) {
        if (nowMs() > until)
            throw std::runtime_error("no node leads");
        sleepMs(50);
    }
    note("all nodes are ready; node " + this->nodes[static_cast<std::size_t>(this->leader())].name
         + " leads");
}

/// By the logs, for scenes that need to know which process is which. No verdict rests on it.
int Deployment::leader()
{
    int found = -1;
    std::int64_t latest = 0;
    for (std::size_t i = 0; i < this->nodes.size(); i++) {
        std::ifstream log(this->nodes[i].log);
        for (std::string line; std::getline(log, line);) {
            const json entry = json::parse(line, nullptr, false);
            if (entry.is_object() && entry.value("event", "") == "took over"
                && entry.value("time", std::int64_t{0}) > latest) {
                latest = entry.value("time", std::int64_t{0});
                found = static_cast<int>(i);
            }
        }
    }
    return found;
}

void Deployment::signalNode(int node, int signal)
{
    Node &target = this->nodes[static_cast<std::size_t>(node)];
    kill(target.process, signal);
    note("node " + target.name + " gets signal " + std::to_string(signal));
    if (signal != SIGKILL)
        return;
    waitpid(target.process, nullptr, 0);
    target.process = 0;
}

void Deployment::restartNode(int node)
{
    this->launch(this->nodes[static_cast<std::size_t>(node)]);
}

bool Deployment::isAlive(int node)
{
    Node &target = this->nodes[static_cast<std::size_t>(node)];
    if (target.process > 0 && waitpid(target.process, nullptr, WNOHANG) == target.process)
        target.process = 0;
    return target.process > 0;
}

Response Deployment::client(int node, const std::string &method, const std::string &path,
                            const std::string &apiKey, const std::string &body, int timeoutMs)
{
    if (method == "POST") {
        const json job = json::parse(body);
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->stepsOfJobs[path.substr(path.rfind('/') + 1)] = job.at("steps");
    }
    const Node &target = this->nodes[static_cast<std::size_t>(node)];
    std::map<std::string, std::string> headers
        = {{"Host", host}, {"Deadline-Ms", std::to_string(timeoutMs)}};
    if (!apiKey.empty())
        headers["Authorization"] = "Bearer " + apiKey;
    note("client: " + method + " " + path + " to " + target.name
         + (apiKey.empty() ? ", no key" : ""));
    Response response = call(target.front, method, path, headers, body, timeoutMs);
    note("client: " + method + " " + path + " to " + target.name + " -> "
         + (response.status == 0 ? "no answer" : std::to_string(response.status)) + " "
         + response.body);
    return response;
}

std::string Deployment::stateOf(int node, const std::string &path, const std::string &apiKey)
{
    const Response response = this->client(node, "GET", path, apiKey);
    const json body = json::parse(response.body, nullptr, false);
    return response.status == 200 && body.is_object() ? body.value("state", "") : "";
}

bool Deployment::awaitState(int node, const std::string &path, const std::string &apiKey,
                            const std::string &state, std::int64_t ms)
{
    const std::int64_t until = nowMs() + ms;
    while (nowMs() < until) {
        if (this->stateOf(node, path, apiKey) == state)
            return true;
        sleepMs(300);
    }
    return false;
}

} // namespace Scene
