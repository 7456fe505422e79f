#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::config {

/// @brief What is in force in place of a part of a configuration that cannot be read as it is written.
enum class FaultEffect {
    Refused, ///< Requests that need this part are refused.
    Replaced, ///< Another value is in force.
    Ignored, ///< The part has no effect.
};

/// @brief Returns the name of an effect as written in logs and metrics.
std::string_view toString(FaultEffect effect);

/// @brief A part of a configuration that cannot be read as it is written.
struct ConfigFault {
    std::string where; ///< For example `routes[chat].allowedRegions`.
    std::string detail;
    FaultEffect effect = FaultEffect::Replaced;
};

/// @brief The faults of one configuration. Counts all of them and keeps the first ones.
class ConfigFaults {
public:
    /// @brief Number of faults that are kept: a broken generator repeats one fault in every entry.
    static constexpr std::size_t maxListed = 50;

    void add(ConfigFault fault);
    const std::vector<ConfigFault>& listed() const { return m_listed; }
    std::size_t count() const { return m_count; }

private:
    std::vector<ConfigFault> m_listed;
    std::size_t m_count = 0;
};

} // namespace foxtailwheel::config
