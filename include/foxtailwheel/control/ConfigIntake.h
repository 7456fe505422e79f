#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/control/RestoredConfigGuard.h"

#include <functional>
#include <memory>
#include <string>

namespace foxtailwheel::control {

/// @brief What an instance does with the configuration that the store has.
enum class ConfigDecision {
    Missing, ///< The store has none.
    Unreadable, ///< The active one stays, but its credentials are no longer confirmed.
    Outdated, ///< Older than the active one, which stays.
    Held, ///< The store may have lost a newer one: the instance waits for its peers.
    Taken,
};

/// @brief A configuration of the store.
struct StoredConfig {
    ConfigDecision decision = ConfigDecision::Missing;
    std::shared_ptr<const config::RouteTable> routes; ///< Null if there is none that can be read.
    std::string detail; ///< Why it cannot be read.
};

/// @brief Decides which configuration of the store comes into force on an instance, and which version the store
/// confirms. Not thread-safe.
class ConfigIntake {
public:
    using Decoder = std::function<Result<std::shared_ptr<const config::RouteTable>>(const std::string&)>;

    ConfigIntake(Decoder decoder, TimePoint startedAt)
        : m_decoder(std::move(decoder))
        , m_guard(startedAt)
    {
    }

    /// @brief Reads the configuration of the store.
    /// @param text Null if the store has none.
    /// @param epoch Of the store's answer.
    /// @param active Version in force; 0 if there is none.
    StoredConfig read(const std::string* text, store::StoreEpoch epoch, ConfigVersion active, TimePoint now);
    /// @brief Returns the version that the store has; 0 if it has none that can be read. Whatever credentials an
    /// unreadable one has taken away, the store confirms none of an earlier one.
    ConfigVersion storedVersion() const { return m_storedVersion; }
    /// @brief Another instance has this version in force.
    /// @return False if this is no news.
    bool onPeerVersion(ConfigVersion version) { return m_guard.onPeerVersion(version); }
    /// @brief Returns the highest version that another instance had in force; 0 if none has said so.
    ConfigVersion newestPeerVersion() const { return m_guard.newestPeerVersion(); }

private:
    Decoder m_decoder;
    RestoredConfigGuard m_guard;
    ConfigVersion m_storedVersion;
};

} // namespace foxtailwheel::control
