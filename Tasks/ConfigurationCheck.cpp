#include <Tasks/ConfigurationCheck.h>

#include <algorithm>
#include <map>
#include <set>

namespace Hibiscus::Tasks {

namespace {

std::string locationOf(const Queue &queue)
{
    return "queue \"" + queue.name + "\"";
}

std::string locationOf(const Customer &customer)
{
    return "customer \"" + customer.name + "\"";
}

std::string inMs(Duration span)
{
    return std::to_string(toMs(span)) + " ms";
}

/// Collects names that stand for more than one entry; lookups by name find the first one.
template <class Entry>
void findRepeatedNames(const std::vector<Entry> &entries, Findings &findings)
{
    std::set<std::string_view> names;
    for (const Entry &entry : entries) {
        if (!names.insert(entry.name).second)
            findings.add(locationOf(entry), "has the name of an earlier entry");
    }
}

/// A call reaches the queue that the index finds for the queue's own host and prefix.
void findShadowedQueues(const SystemConfiguration &configuration, Findings &findings)
{
    const ConfigurationIndex index(configuration);
    const std::vector<Queue> &indexed = index.configuration().queues;
    for (std::size_t i = 0; i < indexed.size(); i++) {
        const Queue &queue = indexed[i];
        if (!queue.prefix.starts_with('/')) {
            findings.add(locationOf(queue), "has a prefix that no path begins with");
            continue;
        }
        const Queue *reached = index.findQueue(queue.host, queue.prefix).queue;
        if (reached != &queue)
            findings.add(locationOf(queue),
                         "is never reached, since " + locationOf(*reached)
                             + " has the same host and prefix");
    }
}

void findUnservedQueues(const SystemConfiguration &configuration, Findings &findings)
{
    for (const Queue &queue : configuration.queues) {
        const bool isServed
            = std::find(configuration.services.begin(), configuration.services.end(), queue.service)
            != configuration.services.end();
        if (!isServed)
            findings.add(locationOf(queue),
                         "uses the service \"" + queue.service + "\", which is not declared");
    }
}

void findCustomersWithoutAccess(const SystemConfiguration &configuration, Findings &findings)
{
    std::map<std::string_view, const Customer *> owners;
    for (const Customer &customer : configuration.customers) {
        bool hasKey = false;
        for (const std::string &key : customer.keys) {
            const auto [owner, isNew] = owners.try_emplace(key, &customer);
            hasKey = hasKey || isNew;
            if (!isNew && owner->second != &customer)
                findings.add(locationOf(customer),
                             "has a key that counts as that of " + locationOf(*owner->second));
        }
        if (!hasKey)
            findings.add(locationOf(customer), "has no key of its own, so no call is its call");
    }
}

void checkObjective(const Queue &queue, Findings &findings)
{
    if (queue.maxAttempts < 1)
        findings.add(locationOf(queue), "allows no run of a task");
    // The objective is the critical path times the stretch, plus the target.
    if (queue.stretch < 1.0 && queue.targetLatency == Duration{})
        findings.add(locationOf(queue),
                     "has a stretch below 1 and no target latency, so no job can end in time");
}

/// The placement service decides after `base`; a permit that is valid for less has expired when it
/// arrives.
void checkPermits(const Queue &queue, Findings &findings)
{
    const PermitTerms &permits = queue.permits;
    const Duration shortest = permits.base + permits.perWorker;
    if (permits.required() && permits.validity <= shortest)
        findings.add(locationOf(queue),
                     "has permits valid for " + inMs(permits.validity) + ", which take "
                         + inMs(shortest) + " to get");
    if (!permits.required() && shortest > Duration{})
        findings.add(locationOf(queue), "has permits that are never valid");
}

void checkLimits(const HttpLimits &limits, Findings &findings)
{
    if (limits.headerBytes == 0)
        findings.add("limits", "allow no header, so no call is accepted");
    if (limits.bodyBytes == 0)
        findings.add("limits", "allow no body, so no job can be submitted");
    if (limits.headerTimeout == Duration{})
        findings.add("limits", "leave no time to read a header");
}

/// Notes a value that differs between two versions.
class Comparison
{
public:
    Comparison(std::string location, Findings &findings)
        : location(std::move(location))
        , findings(findings)
    {}

    void text(std::string_view what, const std::string &before, const std::string &after)
    {
        if (before != after)
            this->findings.add(this->location, std::string(what) + ": " + before + " -> " + after);
    }
    template <class Number>
    void number(std::string_view what, Number before, Number after)
    {
        this->text(what, std::to_string(before), std::to_string(after));
    }
    void span(std::string_view what, Duration before, Duration after)
    {
        this->text(what, inMs(before), inMs(after));
    }

private:
    std::string location;
    Findings &findings;
};

void compare(const Queue &before, const Queue &after, Findings &findings)
{
    Comparison comparison(locationOf(after), findings);
    comparison.text("host", before.host, after.host);
    comparison.text("prefix", before.prefix, after.prefix);
    comparison.text("service", before.service, after.service);
    comparison.number("priority", before.priority, after.priority);
    comparison.number("max attempts", before.maxAttempts, after.maxAttempts);
    comparison.number("stretch", before.stretch, after.stretch);
    comparison.span("target latency", before.targetLatency, after.targetLatency);
    comparison.span("timeout", before.timeout, after.timeout);
    comparison.number("anonymous calls", static_cast<int>(before.allowsAnonymous),
                      static_cast<int>(after.allowsAnonymous));
    comparison.span("permit base time", before.permits.base, after.permits.base);
    comparison.span("permit time per worker", before.permits.perWorker, after.permits.perWorker);
    comparison.span("permit validity", before.permits.validity, after.permits.validity);
}

std::size_t countMissing(const std::vector<std::string> &keys,
                         const std::vector<std::string> &others)
{
    return static_cast<std::size_t>(
        std::count_if(keys.begin(), keys.end(), [&others](const std::string &key) {
            return std::find(others.begin(), others.end(), key) == others.end();
        }));
}

void compare(const Customer &before, const Customer &after, Findings &findings)
{
    Comparison comparison(locationOf(after), findings);
    comparison.number("guaranteed accelerators", before.guaranteedAccelerators,
                      after.guaranteedAccelerators);
    const std::size_t added = countMissing(after.keys, before.keys);
    const std::size_t removed = countMissing(before.keys, after.keys);
    if (added > 0)
        findings.add(locationOf(after), "keys added: " + std::to_string(added));
    if (removed > 0)
        findings.add(locationOf(after), "keys removed: " + std::to_string(removed));
}

void compare(const HttpLimits &before, const HttpLimits &after, Findings &findings)
{
    Comparison comparison("limits", findings);
    comparison.number("header bytes", before.headerBytes, after.headerBytes);
    comparison.number("body bytes", before.bodyBytes, after.bodyBytes);
    comparison.span("header timeout", before.headerTimeout, after.headerTimeout);
    comparison.span("idle timeout", before.idleTimeout, after.idleTimeout);
}

template <class Entry>
const Entry *findByName(const std::vector<Entry> &entries, const std::string &name)
{
    const auto found = std::find_if(entries.begin(), entries.end(),
                                    [&name](const Entry &entry) { return entry.name == name; });
    return found == entries.end() ? nullptr : &*found;
}

template <class Entry>
void compareEntries(const std::vector<Entry> &before, const std::vector<Entry> &after,
                    Findings &findings)
{
    for (const Entry &entry : after) {
        if (const Entry *known = findByName(before, entry.name))
            compare(*known, entry, findings);
        else
            findings.add(locationOf(entry), "is new");
    }
    for (const Entry &entry : before) {
        if (!findByName(after, entry.name))
            findings.add(locationOf(entry), "is removed");
    }
}

} // namespace

ConfigurationFaults checkConfiguration(const SystemConfiguration &configuration)
{
    ConfigurationFaults faults;
    findRepeatedNames(configuration.customers, faults.unreachable);
    findShadowedQueues(configuration, faults.unreachable);
    findUnservedQueues(configuration, faults.unreachable);
    findCustomersWithoutAccess(configuration, faults.unreachable);
    for (const Queue &queue : configuration.queues) {
        checkObjective(queue, faults.contradictions);
        checkPermits(queue, faults.contradictions);
    }
    checkLimits(configuration.limits, faults.contradictions);
    return faults;
}

Findings compareConfigurations(const SystemConfiguration &inForce,
                               const SystemConfiguration &proposed)
{
    Findings differences;
    Comparison("configuration", differences).number("version", inForce.version, proposed.version);
    compareEntries(inForce.queues, proposed.queues, differences);
    compareEntries(inForce.customers, proposed.customers, differences);
    compare(inForce.limits, proposed.limits, differences);
    return differences;
}

} // namespace Hibiscus::Tasks
