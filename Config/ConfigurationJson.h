#pragma once

#include <Config/ConfigReplica.h>
#include <Config/Configuration.h>
#include <Core/Findings.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace Hibiscus {

/// Largest JSON text of one change.
inline constexpr std::size_t maxChangeBytes = std::size_t(64) * 1024;
/// Largest JSON text of a snapshot; the store holds values of up to a megabyte.
inline constexpr std::size_t maxSnapshotBytes = std::size_t(1000) * 1000;

/// A change as one revision of the configuration holds it.
struct ChangeRecord
{
    std::uint64_t revision = 0;
    ConfigChange change;
};

/// The revision that a change id got.
struct AppliedChange
{
    std::string changeId;
    std::uint64_t revision = 0;

    bool operator==(const AppliedChange &) const = default;
};

/// A configuration with the ids of the changes that led to it, oldest first.
struct ConfigSnapshot
{
    Configuration configuration;
    std::vector<AppliedChange> recentChanges;
};

/// JSON texts. Durations are milliseconds in fields that end in Ms; absent cell counts are 0.
/// Reading checks the schema and names, and returns all findings with their JSON pointers.
std::string toJson(const Customer &customer);
std::string toJson(const Preset &preset);
std::string toJson(const Configuration &configuration);
std::string toJson(const ConfigChange &change);
std::string toJson(const ChangeRecord &record);
std::string toJson(const ConfigSnapshot &snapshot);

tl::expected<Customer, Findings> parseCustomer(std::string_view text);
tl::expected<Preset, Findings> parsePreset(std::string_view text);
tl::expected<Configuration, Findings> parseConfiguration(std::string_view text);
/// An operator's request body; `author` is who sent it, which the body can't state.
tl::expected<ConfigChange, Findings> parseConfigChange(std::string_view text,
                                                       std::string_view author);
tl::expected<ChangeRecord, Findings> parseChangeRecord(std::string_view text);
tl::expected<ConfigSnapshot, Findings> parseConfigSnapshot(std::string_view text);

} // namespace Hibiscus
