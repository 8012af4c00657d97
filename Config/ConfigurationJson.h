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

/// Maximum size of the JSON text of one change.
inline constexpr std::size_t maxChangeBytes = std::size_t(64) * 1024;
/// Maximum size of the JSON text of a snapshot. The store limits values to one megabyte.
inline constexpr std::size_t maxSnapshotBytes = std::size_t(1000) * 1000;

/// A change together with the revision that it made.
struct ChangeRecord
{
    std::uint64_t revision = 0;
    ConfigChange change;
};

/// The id of an applied change and the revision that it made.
struct AppliedChange
{
    std::string changeId;
    std::uint64_t revision = 0;

    bool operator==(const AppliedChange &) const = default;
};

/// A configuration with the ids of its most recent changes, oldest first.
struct ConfigSnapshot
{
    Configuration configuration;
    std::vector<AppliedChange> recentChanges;
};

/// Conversion to and from JSON text. Durations are milliseconds in fields whose names end in Ms;
/// absent cell counts are 0. Parsing checks the schema and all names, and returns all findings with
/// their JSON pointers.
std::string toJson(const Customer &customer);
std::string toJson(const Preset &preset);
std::string toJson(const Configuration &configuration);
std::string toJson(const ConfigChange &change);
std::string toJson(const ChangeRecord &record);
std::string toJson(const ConfigSnapshot &snapshot);

tl::expected<Customer, Findings> parseCustomer(std::string_view text);
tl::expected<Preset, Findings> parsePreset(std::string_view text);
tl::expected<Configuration, Findings> parseConfiguration(std::string_view text);
/// Parses the body of an operator's request. `author` is the authenticated sender, which the body
/// can't set.
tl::expected<ConfigChange, Findings> parseConfigChange(std::string_view text,
                                                       std::string_view author);
tl::expected<ChangeRecord, Findings> parseChangeRecord(std::string_view text);
tl::expected<ConfigSnapshot, Findings> parseConfigSnapshot(std::string_view text);

} // namespace Hibiscus
