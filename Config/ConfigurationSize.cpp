#include <Config/ConfigurationSize.h>

namespace Hibiscus {

namespace {

// Upper bounds in bytes of the fixed JSON text of each part, with its field names and longest
// numbers.
constexpr std::size_t configurationBytes = 128;
constexpr std::size_t customerBytes = 128;
constexpr std::size_t guaranteeBytes = 8;
constexpr std::size_t cellBytes = 20;
constexpr std::size_t keyBytes = 64;
constexpr std::size_t presetBytes = 128;
constexpr std::size_t limitsBytes = 224;
constexpr std::size_t listedNameBytes = 3;

std::size_t sizeBound(const Customer &customer)
{
    std::size_t bytes = customerBytes + customer.name.size();
    for (const auto &[dataCenter, cells] : customer.guarantees) {
        bytes += guaranteeBytes + dataCenter.size();
        for (const std::uint32_t count : cells)
            bytes += count == 0 ? 0 : cellBytes;
    }
    for (const ApiKey &key : customer.keys)
        bytes += keyBytes + key.name.size() + key.salt.size() + key.hash.size();
    return bytes;
}

std::size_t sizeBound(const Preset &preset)
{
    std::size_t bytes = presetBytes + preset.name.size() + urgencyClassCount * limitsBytes;
    for (const std::string &dataCenter : preset.closedDataCenters)
        bytes += listedNameBytes + dataCenter.size();
    return bytes;
}

} // namespace

std::size_t jsonSizeBound(const Configuration &configuration)
{
    std::size_t bytes = configurationBytes + configuration.presetInForce.size();
    for (const auto &[name, customer] : configuration.customers)
        bytes += sizeBound(customer);
    for (const auto &[name, preset] : configuration.presets)
        bytes += sizeBound(preset);
    return bytes;
}

} // namespace Hibiscus
