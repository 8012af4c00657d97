#include <Config/Configuration.h>

namespace Hibiscus {

const Preset *Configuration::activePreset() const
{
    const auto found = this->presets.find(this->presetInForce);
    return found == this->presets.end() ? nullptr : &found->second;
}

} // namespace Hibiscus
