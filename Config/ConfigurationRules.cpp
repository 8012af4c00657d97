#include <Config/ConfigurationRules.h>

#include <Config/ConfigurationJson.h>
#include <Config/ConfigurationSize.h>
#include <Config/JsonSchema.h>
#include <Config/Names.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace Hibiscus {

namespace {

constexpr double maxCustomerShare = 1'000'000.0;
// Tolerates rounding errors when shares such as 0.1 are added.
constexpr double shareTolerance = 1e-9;
// Leaves space in the snapshot for the ids of recent changes, below the store's limit on values.
constexpr std::size_t maxConfigurationBytes = std::size_t(800) * 1000;
constexpr std::size_t hashDigits = 64;

constexpr std::array levelNames{"slot", "pair", "quad", "worker", "rack"};

std::string customersWithGuarantee(const Configuration &configuration,
                                   const std::string &dataCenter)
{
    std::string names;
    for (const auto &[name, customer] : configuration.customers) {
        if (customer.guarantees.contains(dataCenter))
            names += (names.empty() ? "" : ", ") + name;
    }
    return names;
}

/// Returns the number of cells of the next smaller level that one cell takes. If the fleet's
/// description leaves it open, the average is rounded up, so that no missing cell is promised.
std::uint64_t smallerCells(const DataCenterCells &cells, std::size_t level)
{
    if (cells.smallerPerCell[level] != 0)
        return cells.smallerPerCell[level];
    const std::uint64_t whole = cells.total[level];
    return whole == 0 ? 0 : (cells.total[level - 1] + whole - 1) / whole;
}

/// Allocates the wanted cells from the largest level to the smallest. The remaining cells of a
/// level are split into smaller ones. Adds a finding for each level with too few cells.
void checkFit(const std::array<std::uint64_t, cellLevelCount> &wanted, const DataCenterCells &cells,
              const std::string &place, const std::string &customers, Findings &findings)
{
    std::uint64_t taken = 0;
    for (std::size_t level = cellLevelCount; level-- > 0;) {
        const std::uint64_t whole = cells.total[level];
        const std::uint64_t left = taken < whole ? whole - taken : 0;
        if (wanted[level] > left) {
            findings.add(place,
                         "guarantees of " + customers + " in " + cells.dataCenter + " need "
                             + std::to_string(wanted[level]) + " " + levelNames[level]
                             + " cells, and only " + std::to_string(left)
                             + " are left beside the larger ones");
        }
        if (level > 0)
            taken = (taken + wanted[level]) * smallerCells(cells, level);
    }
}

/// Returns true if the new guarantee is not higher than the old one at any level.
bool isNotRaised(const Customer *before, const std::string &dataCenter, const CellCounts &now)
{
    CellCounts old{};
    if (before != nullptr && before->guarantees.contains(dataCenter))
        old = before->guarantees.at(dataCenter);
    for (std::size_t level = 0; level < cellLevelCount; ++level) {
        if (now[level] > old[level])
            return false;
    }
    return true;
}

class ChangeCheck
{
public:
    ChangeCheck(const Configuration &before, const Configuration &after,
                std::span<const DataCenterCells> fleet, Findings &findings)
        : before(before)
        , after(after)
        , fleet(fleet)
        , findings(findings)
    {}

    void operator()(const PutCustomer &put)
    {
        const Customer &customer = put.customer;
        checkName(customer.name, "/putCustomer/name", this->findings);
        const bool isValid = customer.share > 0.0 && customer.share <= maxCustomerShare;
        if (!isValid)
            this->findings.add("/putCustomer/share", "must be above 0 and at most 1000000");
        this->checkKeys(customer);
        for (const auto &[dataCenter, cells] : customer.guarantees)
            this->checkGuarantee(customer, dataCenter, cells);
    }

    void operator()(const RemoveCustomer &remove)
    {
        if (!this->before.customers.contains(remove.name))
            this->findings.add("/removeCustomer", "there is no customer " + remove.name);
    }

    void operator()(const PutPreset &put)
    {
        const Preset &preset = put.preset;
        checkName(preset.name, "/putPreset/name", this->findings);
        double kept = 0.0;
        for (std::size_t i = 0; i < urgencyClassCount; ++i) {
            checkLimits(preset.classes[i], toString(static_cast<UrgencyClass>(i)));
            kept += preset.classes[i].keptShare;
        }
        if (kept > 1.0 + shareTolerance)
            this->findings.add("/putPreset/classes", "kept shares are more than 1 together");
    }

    void operator()(const RemovePreset &remove)
    {
        if (!this->before.presets.contains(remove.name))
            this->findings.add("/removePreset", "there is no preset " + remove.name);
        else if (remove.name == this->before.presetInForce)
            this->findings.add("/removePreset", "the preset is in force; switch to another first");
    }

    void operator()(const SwitchPreset &change)
    {
        if (!this->before.presets.contains(change.name))
            this->findings.add("/switchPreset", "there is no preset " + change.name);
    }

private:
    const DataCenterCells *find(const std::string &dataCenter) const
    {
        const auto matches = [&](const DataCenterCells &c) { return c.dataCenter == dataCenter; };
        const auto found = std::find_if(this->fleet.begin(), this->fleet.end(), matches);
        return found == this->fleet.end() ? nullptr : &*found;
    }

    void checkGuarantee(const Customer &customer, const std::string &dataCenter,
                        const CellCounts &wanted)
    {
        const auto old = this->before.customers.find(customer.name);
        const Customer *previous = old == this->before.customers.end() ? nullptr : &old->second;
        // Lowering a guarantee is always allowed, even if the guarantees exceed the fleet because
        // workers have failed.
        if (isNotRaised(previous, dataCenter, wanted))
            return;
        const std::string place = pointerTo("/putCustomer/guarantees", dataCenter);
        const DataCenterCells *cells = this->find(dataCenter);
        if (cells == nullptr) {
            this->findings.add(place,
                               "customer " + customer.name + ": no worker of data centre "
                                   + dataCenter + " is known");
            return;
        }
        std::array<std::uint64_t, cellLevelCount> sum{};
        for (const auto &[name, other] : this->after.customers) {
            const auto share = other.guarantees.find(dataCenter);
            for (std::size_t i = 0; share != other.guarantees.end() && i < cellLevelCount; ++i)
                sum[i] += share->second[i];
        }
        checkFit(sum, *cells, place, customersWithGuarantee(this->after, dataCenter),
                 this->findings);
    }

    void checkKeys(const Customer &customer)
    {
        std::set<std::string> names;
        for (std::size_t i = 0; i < customer.keys.size(); ++i) {
            const ApiKey &key = customer.keys[i];
            const std::string place = pointerTo("/putCustomer/keys", std::to_string(i));
            checkName(key.name, place + "/name", this->findings);
            if (!names.insert(key.name).second)
                this->findings.add(place + "/name", "is used twice");
            if (!isHex(key.salt) || key.salt.empty())
                this->findings.add(place + "/salt", "must be hexadecimal");
            if (!isHex(key.hash) || key.hash.size() != hashDigits)
                this->findings.add(place + "/hash", "must be 64 hexadecimal digits");
            this->checkKeyIsUnused(customer, key, place);
        }
    }

    void checkKeyIsUnused(const Customer &customer, const ApiKey &key, const std::string &place)
    {
        for (const auto &[name, other] : this->before.customers) {
            if (name == customer.name)
                continue;
            for (const ApiKey &taken : other.keys) {
                if (taken.name == key.name)
                    this->findings.add(place + "/name", "is a key of customer " + name);
            }
        }
    }

    void checkLimits(const ClassLimits &limits, const char *name)
    {
        const std::string place = pointerTo("/putPreset/classes", name);
        const auto isShare = [](double share) { return share >= 0.0 && share <= 1.0; };
        if (!isShare(limits.keptShare))
            this->findings.add(place + "/keptShare", "must be from 0 to 1");
        if (!isShare(limits.largestShare))
            this->findings.add(place + "/largestShare", "must be from 0 to 1");
        else if (limits.largestShare < limits.keptShare)
            this->findings.add(place + "/largestShare", "is less than keptShare");
        if (limits.ageing <= Duration::zero())
            this->findings.add(place + "/ageingMs", "must be above 0");
        if (limits.longestRun <= Duration::zero())
            this->findings.add(place + "/longestRunMs", "must be above 0");
    }

    const Configuration &before;
    const Configuration &after;
    std::span<const DataCenterCells> fleet;
    Findings &findings;
};

struct OperationApplier
{
    Configuration &configuration;

    void operator()(const PutCustomer &put)
    {
        this->configuration.customers[put.customer.name] = put.customer;
    }
    void operator()(const RemoveCustomer &remove)
    {
        this->configuration.customers.erase(remove.name);
    }
    void operator()(const PutPreset &put)
    {
        this->configuration.presets[put.preset.name] = put.preset;
    }
    void operator()(const RemovePreset &remove) { this->configuration.presets.erase(remove.name); }
    void operator()(const SwitchPreset &change) { this->configuration.presetInForce = change.name; }
};

} // namespace

void applyAcceptedChange(const ConfigChange &change, Configuration &configuration)
{
    std::visit(OperationApplier{configuration}, change.operation);
    ++configuration.revision;
}

tl::expected<Configuration, Findings> applyChange(const Configuration &configuration,
                                                  const ConfigChange &change,
                                                  std::span<const DataCenterCells> fleet)
{
    Configuration after = configuration;
    applyAcceptedChange(change, after);
    Findings findings;
    checkName(change.changeId, "/changeId", findings);
    std::visit(ChangeCheck(configuration, after, fleet, findings), change.operation);
    // Only a configuration near the limit is serialised to get its exact size, since that may write
    // hundreds of kilobytes.
    if (findings.isEmpty() && jsonSizeBound(after) > maxConfigurationBytes
        && toJson(after).size() > maxConfigurationBytes)
        findings.add("", "the configuration would be longer than 800000 bytes");
    if (!findings.isEmpty())
        return tl::unexpected(findings);
    return after;
}

} // namespace Hibiscus
