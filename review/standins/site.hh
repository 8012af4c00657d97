// A small deployment on loopback addresses: the store in this process, nodes and workers as
// processes of their own.
#pragma once

#include "store.hh"
#include "worker.hh"

#include <filesystem>
#include <random>

namespace review {

inline const char *serviceName = "huvo11a";
inline const char *hostName = "nony24.example";

struct Queue
{
    std::string name;
    std::string prefix;
    int priority = 1;
    int maxAttempts = 2;
    double stretch = 3.0;
    int targetLatencyMs = 1000;
};

struct Tenant
{
    std::string name;
    std::string key;
    int guaranteedGpu = 0;
};

class Site
{
public:
    Site(const std::string &root, const std::string &folder, const std::string &self)
        : root(root)
        , folder(folder)
        , self(self)
        , record(folder + "/record.txt")
        , store(record)
        , scratch(std::filesystem::temp_directory_path()
                  / ("review-case-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(this->scratch);
        std::random_device random;
        this->network = "127." + std::to_string(20 + random() % 200) + "."
            + std::to_string(1 + random() % 250) + ".";
        this->storeIp = this->network + "5";
        this->storeServer
            = std::make_unique<Server>(this->storeIp, 0, [this](const Request &request) {
                  return this->store.handle(request);
              });
        this->beatServer = std::make_unique<Server>(
            this->storeIp, 0, [this](const Request &request) { return this->takeBeat(request); });
    }

    /// Ends all processes that the case started and removes its temporary folder.
    void close()
    {
        this->children.endAll();
        std::error_code ignored;
        std::filesystem::remove_all(this->scratch, ignored);
    }

    void configure(const std::vector<Queue> &queues, const std::vector<Tenant> &tenants)
    {
        json routes = json::array();
        for (const Queue &queue : queues)
            routes.push_back({{"name", queue.name},
                              {"host", hostName},
                              {"prefix", queue.prefix},
                              {"kind", "non_idempotent"},
                              {"timeoutMs", 3000},
                              {"targetLatencyMs", queue.targetLatencyMs},
                              {"priority", queue.priority},
                              {"backend", serviceName},
                              {"maxAttempts", queue.maxAttempts},
                              {"stretch", queue.stretch},
                              {"noAuth", false}});
        json list = json::array();
        for (const Tenant &tenant : tenants)
            list.push_back({{"name", tenant.name},
                            {"apiKeys", {tenant.key}},
                            {"priority", 1},
                            {"guaranteed", {{"gpu", tenant.guaranteedGpu}}}});
        const json configuration = {{"version", 7},
                                    {"routes", routes},
                                    {"services",
                                     {{{"name", serviceName},
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
                                    {"tenants", list}};
        this->store.put("op/config", configuration.dump());
    }

    void startNodes(int count)
    {
        for (int i = 0; i < count; i++) {
            const std::string ip = this->network + std::to_string(10 + i);
            const std::string front = ip + ":" + std::to_string(freePort(ip));
            const std::string ready = ip + ":" + std::to_string(freePort(ip));
            const std::string control = ip + ":" + std::to_string(freePort(ip));
            const std::string name = "edge-attica-" + std::string(1, static_cast<char>('a' + i % 2))
                + "-" + std::to_string(i + 1);
            const std::string zone = i % 2 == 0 ? "attica-a" : "attica-b";
            const std::string file = (this->scratch / (name + ".toml")).string();
            std::ofstream(file)
                << "node = \"" << name << "\"\nrole = \"entry\"\nmachineClass = \"edge\"\n"
                << "serves = [\"edge\"]\nip = \"" << ip << "\"\nzone = \"" << zone << "\"\n"
                << "region = \"attica\"\ninternalPorts = [7000,7015]\nseeds = []\n"
                << "bootstrap = true\nlossCounts = false\ndiscovery = \"platform\"\n"
                << "entry = \"vip\"\nheartbeatMs = 1500\n"
                << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\","
                << "\"tenants\",\"platform\"]\norders = \"call\"\n"
                << "[zones]\nattica-a = \"attica\"\nattica-b = \"attica\"\n"
                << "[listen]\nfront = \"" << front << "\"\nready = \"" << ready
                << "\"\ncontrol = \"" << control << "\"\n"
                << "[limits]\ncpuShare = 0.25\ncores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
                << "linkMbps = 1000.0\ndiskMb = 0\n"
                << "[tolerate]\nmachines = 2\nzones = 1\nregions = 0\n"
                << "[bounds]\nstableWindowMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\n"
                << "lossSlackMs = 200\nconfigApplyMs = 2000\nstrictRevoke = true\n"
                << "revokeMs = 5000\nrecoveryS = 12\nholdMaxMs = 6000\nstopMs = 400\n"
                << "gangWaitMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n"
                << "finish_s = 14\nstatus_s = 120\nfarFactor = 3\ncheckpointIntervalS = 0.5\n"
                << "restoreMs = 100\nrequireFencing = false\nleaseMs = 3000\n"
                << "[platform]\naddress = \"" << this->storeIp << ":" << this->storeServer->port()
                << "\"\nform = \"kv\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
                << "valueBytes = 1048576\nttlMinMs = 1000\n";
            const pid_t child = this->children.start(
                {this->root + "/target/Node/hibiscus-node", "--metrics-port", "7001"},
                (this->scratch / (name + ".log")).string(), {{"HIBISCUSARCH_SETTINGS", file}});
            this->nodes.push_back(child);
            this->fronts.push_back(front);
            this->readies.push_back(ready);
            this->record.line("node " + name + " started, front " + front);
        }
    }

    /// Starts a worker's process, or its next process under the same id and address.
    void startWorker(const std::string &id, int number)
    {
        const std::string ip = this->network + std::to_string(50 + number);
        if (!this->workerPorts.contains(id))
            this->workerPorts[id] = freePort(ip);
        const std::string zone = number % 2 == 0 ? "attica-a" : "attica-b";
        this->workers[id] = this->children.start(
            {this->self, "worker", id, ip, std::to_string(this->workerPorts[id]), zone,
             "r1-" + std::to_string(1 + number / 6),
             this->storeIp + ":" + std::to_string(this->beatServer->port()),
             this->folder + "/record.txt", this->advertisedAddress(id, ip)},
            (this->scratch / (id + ".log")).string());
    }

    /// From now on the worker's registered address is a proxy in this process. It passes each call
    /// on, but keeps the start orders that `holds` selects, which get no answer.
    void putProxyBefore(const std::string &id, int number, std::function<bool(const json &)> holds)
    {
        const std::string ip = this->network + std::to_string(50 + number);
        this->workerPorts[id] = freePort(ip);
        const std::string target = ip + ":" + std::to_string(this->workerPorts[id]);
        this->proxies[id] = std::make_unique<Server>(
            ip, 0, [this, target, holds = std::move(holds)](const Request &request) -> Response {
                const bool isStart = request.path == "/run-start";
                if (isStart && holds(json::parse(request.body, nullptr, false))) {
                    this->record.line("proxy: a start order gets no answer: " + request.body);
                    const std::lock_guard lock(this->mutex);
                    this->heldOrders.push_back({target, request});
                    return {0, ""};
                }
                return forward(target, request);
            });
    }

    /// Delivers the first start order that was kept, seconds late.
    void deliverHeldOrder()
    {
        std::pair<std::string, Request> held;
        {
            const std::lock_guard lock(this->mutex);
            if (this->heldOrders.empty())
                return;
            held = this->heldOrders.front();
        }
        const Response answer = forward(held.first, held.second);
        this->record.line("proxy: the first of these orders is delivered late -> "
                          + std::to_string(answer.status) + " " + answer.body);
    }

    void killWorker(const std::string &id)
    {
        this->record.line("driver: SIGKILL to worker " + id);
        this->children.kill(this->workers.at(id));
    }

    /// Cuts the worker off the store: what it sends there gets no answer.
    void cutFromStore(const std::string &id, bool cut)
    {
        this->record.line("driver: worker " + id
                          + (cut ? " is cut off the store" : " reaches the store again"));
        const std::lock_guard lock(this->mutex);
        if (cut)
            this->cutWorkers.insert(id);
        else
            this->cutWorkers.erase(id);
    }

    /// Waits until all nodes say that they are ready, and a little longer for the leader.
    bool waitReady()
    {
        for (int i = 0; i < 150; i++) {
            bool all = true;
            for (const std::string &ready : this->readies)
                all = all && call(ready, "GET", "/ready", "").status == 200;
            if (all) {
                sleepMs(4000);
                this->record.line("driver: all nodes are ready");
                return true;
            }
            sleepMs(100);
        }
        return false;
    }

    std::string newJobId()
    {
        static std::mt19937_64 random(std::random_device{}());
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
        return text;
    }

    /// A call of a client, repeated at the next node where there is no answer, a 502 or a 504.
    Answer callAsClient(const std::string &method, const std::string &path, const std::string &key,
                        const std::string &body)
    {
        Answer answer;
        for (int attempt = 0; attempt < 5; attempt++) {
            const std::string &front = this->fronts[this->nextFront++ % this->fronts.size()];
            answer = call(
                front, method, path, body,
                {{"Host", hostName}, {"Authorization", "Bearer " + key}, {"Deadline-Ms", "3000"}});
            if (answer.status != 0 && answer.status != 502 && answer.status != 504)
                break;
        }
        return answer;
    }

    int submit(const std::string &prefix, const std::string &id, const std::string &key,
               const json &spec, const json &steps)
    {
        const json body = {{"spec", spec.dump()}, {"steps", steps}};
        const Answer answer = this->callAsClient("POST", prefix + id, key, body.dump());
        this->record.line("client: POST " + prefix + id + " "
                          + (body.dump().size() < 600 ? body.dump() : "(long body)") + " -> "
                          + std::to_string(answer.status));
        return answer.status;
    }

    std::string state(const std::string &prefix, const std::string &id, const std::string &key)
    {
        const Answer answer = this->callAsClient("GET", prefix + id, key, "");
        const std::string text = answer.status == 200 && answer.body.is_object()
            ? answer.body.value("state", "")
            : std::to_string(answer.status);
        this->record.line("client: GET " + prefix + id + " -> " + text);
        return text;
    }

    /// Saves the last lines of the nodes' logs into the record.
    void copyLogs(const std::string &word, std::size_t most)
    {
        for (const auto &entry : std::filesystem::directory_iterator(this->scratch)) {
            if (entry.path().extension() != ".log")
                continue;
            std::ifstream file(entry.path());
            std::vector<std::string> lines;
            for (std::string line; std::getline(file, line);) {
                if (line.find(word) != std::string::npos)
                    lines.push_back(line);
            }
            const std::size_t first = lines.size() > most ? lines.size() - most : 0;
            for (std::size_t i = first; i < lines.size(); i++)
                this->record.line("log of " + entry.path().stem().string() + ": " + lines[i]);
        }
    }

    bool nodesRun()
    {
        for (const pid_t node : this->nodes) {
            if (!this->children.isRunning(node))
                return false;
        }
        return true;
    }

    std::string root;
    std::string folder;
    std::string self;
    Record record;

private:
    static Response forward(const std::string &target, const Request &request)
    {
        std::map<std::string, std::string> headers;
        const auto expected = request.headers.find("Expect-Instance");
        if (expected != request.headers.end())
            headers["Expect-Instance"] = expected->second;
        const Answer answer = call(target, request.method, request.path, request.body, headers,
                                   std::chrono::milliseconds(5000));
        return {answer.status == 0 ? 502 : answer.status,
                answer.body.is_discarded() ? std::string() : answer.body.dump()};
    }

    std::string advertisedAddress(const std::string &id, const std::string &ip)
    {
        const auto proxy = this->proxies.find(id);
        const unsigned short port
            = proxy == this->proxies.end() ? this->workerPorts.at(id) : proxy->second->port();
        return ip + ":" + std::to_string(port);
    }

    Response takeBeat(const Request &request)
    {
        const std::string id = request.path.substr(std::string("/beat/").size());
        {
            const std::lock_guard lock(this->mutex);
            if (this->cutWorkers.contains(id))
                return {0, ""};
        }
        this->store.beat("servers/" + id, request.body);
        return {200, "{}"};
    }

    Store store;
    std::filesystem::path scratch;
    std::string network;
    std::string storeIp;
    std::unique_ptr<Server> storeServer;
    std::unique_ptr<Server> beatServer;
    Children children;
    std::mutex mutex;
    std::set<std::string> cutWorkers;
    std::vector<pid_t> nodes;
    std::vector<std::string> fronts;
    std::vector<std::string> readies;
    std::map<std::string, pid_t> workers;
    std::map<std::string, unsigned short> workerPorts;
    std::map<std::string, std::unique_ptr<Server>> proxies;
    std::vector<std::pair<std::string, Request>> heldOrders;
    std::size_t nextFront = 0;
};

} // namespace review
