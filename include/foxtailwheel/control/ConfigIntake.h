#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/control/RestoredConfigGuard.h"

#include <cstdint>
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
    /// @brief Reads the text of a configuration that another instance has in force.
    StoredConfig readFromPeer(const std::string& text, ConfigVersion active) const;
    /// @brief Returns the version that the store has; 0 if it has none that can be read. Whatever credentials an
    /// unreadable one has taken away, the store confirms none of an earlier one.
    ConfigVersion storedVersion() const { return m_storedVersion; }
    /// @brief Returns whether the store's answers confirm the credentials of the active configuration.
    ///
    /// An older configuration in the store confirms nothing, except for the one that came back with an older copy: as
    /// long as the operators have not written since, the active one is the newest that anyone knows.
    bool confirms(ConfigVersion active, TimePoint now) const;
    /// @brief Another instance has this version in force.
    /// @return False if this is no news.
    bool onPeerVersion(ConfigVersion version, TimePoint now) { return m_guard.onPeerVersion(version, now); }
    /// @brief Returns the highest version that another instance has in force; 0 if none has said so lately.
    ConfigVersion newestPeerVersion(TimePoint now) const { return m_guard.newestPeerVersion(now); }
    /// @brief Returns whether another instance should be asked for this version: the store may have lost it.
    bool needsFromPeer(ConfigVersion version, ConfigVersion active) const;

private:
    Decoder m_decoder;
    RestoredConfigGuard m_guard;
    ConfigVersion m_storedVersion;
    store::StoreEpoch m_epoch; ///< Of the last answer.
    TimePoint m_epochReadAt; ///< Time of the first answer of that epoch.
    std::uint64_t m_firstTextHash = 0; ///< Of the configuration in that answer.
    bool m_isAsRestored = false; ///< The store still has that one.
};

} // namespace foxtailwheel::control
