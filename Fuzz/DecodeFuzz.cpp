#include <Config/ConfigurationJson.h>
#include <Config/ConfigurationRules.h>
#include <Config/InstanceSettings.h>
#include <Config/RequestJson.h>
#include <Fuzz/JsonMutator.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

namespace {

using namespace Hibiscus;

/// Aborts the fuzz run if a required property does not hold for the current input.
void require(bool condition)
{
    if (!condition)
        std::abort();
}

/// Requires that a rejected text has findings, and that an accepted value is encoded as a text that
/// decodes to the same value.
template <class Value, class Parse>
void checkRoundTrip(const tl::expected<Value, Findings> &parsed, const Parse &parse)
{
    if (!parsed) {
        require(!parsed.error().isEmpty());
        return;
    }
    const std::string text = toJson(*parsed);
    const auto decoded = parse(text);
    require(decoded.has_value() && toJson(*decoded) == text);
}

void decodeChange(std::string_view text)
{
    const auto parse = [](std::string_view t) { return parseConfigChange(t, "operator"); };
    const auto change = parse(text);
    checkRoundTrip(change, parse);
    if (!change)
        return;
    const DataCenterCells athens{"athens", {96, 48, 24, 12, 2}, {}};
    const auto after = applyChange(Configuration(), *change, {&athens, 1});
    require(after ? after->revision == 1 : !after.error().isEmpty());
}

void decodeSettings(std::string_view text)
{
    const auto settings = parseInstanceSettings(text);
    if (!settings)
        require(!settings.error().isEmpty());
    else
        require(!settings->instance.empty() && !settings->store.address.host.empty());
}

} // namespace

// libFuzzer fixes the names of its hooks.
// NOLINTBEGIN(readability-identifier-naming)
extern "C" std::size_t LLVMFuzzerMutate(std::uint8_t *data, std::size_t size, std::size_t maxSize);

/// Mutates half of the inputs as JSON values and the others as bytes.
extern "C" std::size_t LLVMFuzzerCustomMutator(std::uint8_t *data, std::size_t size,
                                               std::size_t maxSize, unsigned int seed)
{
    if (size < 2 || seed % 2 == 0)
        return LLVMFuzzerMutate(data, size, maxSize);
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    const std::string mutated = Hibiscus::mutateJson(text, seed);
    if (mutated.size() + 1 > maxSize)
        return size;
    std::copy(mutated.begin(), mutated.end(), data + 1);
    return mutated.size() + 1;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    // The first byte selects the decoder, so that all decoders share one corpus.
    if (size == 0)
        return 0;
    const std::string_view text(reinterpret_cast<const char *>(data) + 1, size - 1);
    switch (data[0] % 6) {
    case 0:
        checkRoundTrip(parseSubmitBody(text), parseSubmitBody);
        break;
    case 1:
        decodeChange(text);
        break;
    case 2:
        decodeSettings(text);
        break;
    case 3:
        checkRoundTrip(parseConfigSnapshot(text), parseConfigSnapshot);
        break;
    case 4:
        checkRoundTrip(parseChangeRecord(text), parseChangeRecord);
        break;
    default:
        checkRoundTrip(parseAnswerBody(text), parseAnswerBody);
        break;
    }
    return 0;
}
// NOLINTEND(readability-identifier-naming)
