#include <Config/InstanceSettings.h>

#include <Config/ConfigurationValues.h>
#include <Config/JsonSchema.h>
#include <Config/Names.h>
#include <Config/Schemas.h>

#include <array>
#include <set>

namespace Hibiscus {

using nlohmann::json;

namespace {

constexpr std::size_t maxSettingsBytes = std::size_t(256) * 1024;
constexpr std::size_t hashDigits = 64;

constexpr std::array levelNames{"trace", "debug", "info", "warn", "error"};

/// Reads the fields of one JSON object of the settings. Absent fields keep their defaults.
class Reader
{
public:
    Reader(const json &value, std::string place, Findings &findings)
        : value(value)
        , place(std::move(place))
        , findings(findings)
    {}

    Reader at(const char *key) const
    {
        static const json empty = json::object();
        const auto found = this->value.find(key);
        const json &inner = found == this->value.end() ? empty : *found;
        return {inner, pointerTo(this->place, key), this->findings};
    }

    bool has(const char *key) const { return this->value.contains(key); }

    template <class Field>
    void read(const char *key, Field &field) const
    {
        field = this->value.value(key, field);
    }

    void readMs(const char *key, Duration &field) const
    {
        const auto found = this->value.find(key);
        if (found != this->value.end())
            field = milliseconds(found->get<std::int64_t>());
    }

    void readName(const char *key, std::string &field) const
    {
        this->read(key, field);
        if (this->has(key))
            checkName(field, pointerTo(this->place, key), this->findings);
    }

    void readAddress(ListenAddress &address) const
    {
        this->read("host", address.host);
        this->read("port", address.port);
        if (!isIpAddress(address.host))
            this->add("host", "must be an IP address");
    }

    void add(const char *key, std::string_view message) const
    {
        this->findings.add(pointerTo(this->place, key), message);
    }

    const json &raw() const { return this->value; }

private:
    const json &value;
    std::string place;
    Findings &findings;
};

void readListeners(const Reader &reader, InstanceSettings &settings)
{
    const Reader callers = reader.at("callers");
    callers.readAddress(settings.callers.address);
    callers.read("threads", settings.callers.threads);
    callers.read("largestBodyBytes", settings.callers.largestBodyBytes);
    const Reader urgent = reader.at("urgentCallers");
    urgent.readAddress(settings.urgentCallers.address);
    urgent.read("threads", settings.urgentCallers.threads);
    reader.at("operators").readAddress(settings.operators);
    reader.at("health").readAddress(settings.health);
    const Reader peers = reader.at("peers");
    peers.readAddress(settings.peers.address);
    peers.read("clusterKeyFile", settings.peers.clusterKeyFile);
}

void readPlatform(const Reader &reader, InstanceSettings &settings)
{
    const Reader store = reader.at("store");
    store.readAddress(settings.store.address);
    store.readMs("timeoutMs", settings.store.timeout);
    const Reader liveList = reader.at("liveList");
    liveList.readAddress(settings.liveList.address);
    liveList.readMs("intervalMs", settings.liveList.interval);
}

void readTls(const Reader &reader, InstanceSettings &settings)
{
    if (!reader.has("tls"))
        return;
    TlsSettings tls;
    const Reader inner = reader.at("tls");
    inner.read("certificateFile", tls.certificateFile);
    inner.read("keyFile", tls.keyFile);
    if (tls.certificateFile.empty())
        inner.add("certificateFile", "must not be empty");
    if (tls.keyFile.empty())
        inner.add("keyFile", "must not be empty");
    settings.tls = tls;
}

void readLog(const Reader &reader, LogSettings &log)
{
    reader.read("file", log.file);
    const std::string layout = reader.raw().value("layout", "plain");
    log.layout = layout == "json" ? LogLayout::Json : LogLayout::Plain;
    const std::string level = reader.raw().value("level", "info");
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (level == levelNames[i])
            log.level = static_cast<LogLevel>(i);
    }
}

void readOperatorKeys(const Reader &reader, InstanceSettings &settings, Findings &findings)
{
    if (!reader.has("operatorKeys"))
        return;
    std::set<std::string> names;
    for (const json &value : reader.raw()["operatorKeys"]) {
        const std::string index = std::to_string(settings.operatorKeys.size());
        const std::string place = pointerTo("/operatorKeys", index);
        ApiKey key = readKey(value, place, findings);
        if (!names.insert(key.name).second)
            findings.add(place + "/name", "is used twice");
        if (key.role != Role::Operator)
            findings.add(place + "/role", "must be operator");
        if (key.hash.size() != hashDigits)
            findings.add(place + "/hash", "must be 64 hexadecimal digits");
        settings.operatorKeys.push_back(std::move(key));
    }
}

void readLeases(const Reader &reader, LeaseSettings &leases)
{
    reader.readMs("ownerMs", leases.owner);
    reader.readMs("taskMs", leases.task);
    reader.readMs("renewMs", leases.renew);
    // A lease has to survive one lost renewal.
    if (2 * leases.renew > leases.owner)
        reader.add("renewMs", "must be at most half of ownerMs");
    if (2 * leases.renew > leases.task)
        reader.add("renewMs", "must be at most half of taskMs");
}

/// Rejects two listeners on one port, which would otherwise fail only when the second one is
/// opened.
void checkPorts(const InstanceSettings &settings, Findings &findings)
{
    const std::array<std::pair<const char *, const ListenAddress *>, 5> listeners{{
        {"/callers/port", &settings.callers.address},
        {"/urgentCallers/port", &settings.urgentCallers.address},
        {"/operators/port", &settings.operators},
        {"/health/port", &settings.health},
        {"/peers/port", &settings.peers.address},
    }};
    for (std::size_t i = 0; i < listeners.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const ListenAddress &one = *listeners[i].second;
            if (one.port != 0 && one == *listeners[j].second)
                findings.add(listeners[i].first, std::string("is taken by ") + listeners[j].first);
        }
    }
}

InstanceSettings readSettings(const json &document, Findings &findings)
{
    InstanceSettings settings;
    const Reader reader(document, "", findings);
    reader.readName("instance", settings.instance);
    reader.readName("dataCenter", settings.dataCenter);
    reader.readName("region", settings.region);
    readListeners(reader, settings);
    readPlatform(reader, settings);
    readTls(reader, settings);
    readOperatorKeys(reader, settings, findings);
    reader.readMs("drainMs", settings.drain);
    readLog(reader.at("log"), settings.log);
    reader.at("limits").read("waitingCallers", settings.limits.waitingCallers);
    reader.at("limits").read("retryShare", settings.limits.retryShare);
    reader.at("ledger").read("shards", settings.ledger.shards);
    reader.at("ledger").readMs("commitSpacingMs", settings.ledger.commitSpacing);
    readLeases(reader.at("leases"), settings.leases);
    checkPorts(settings, findings);
    return settings;
}

} // namespace

tl::expected<InstanceSettings, Findings> parseInstanceSettings(std::string_view text)
{
    static const JsonSchema schema(instanceSettingsSchema);
    const auto document = schema.parse(text, maxSettingsBytes);
    if (!document)
        return tl::unexpected(document.error());
    Findings findings;
    const InstanceSettings settings = readSettings(*document, findings);
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return settings;
}

} // namespace Hibiscus
