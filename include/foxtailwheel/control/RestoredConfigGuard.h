#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/ChangeFeed.h"

namespace foxtailwheel::control {

/// @brief Decides whether an instance that has no configuration yet takes the one that the store has.
///
/// A store that has returned from an older copy has an older configuration until the operator writes the newer one
/// again: it holds credentials that were revoked since. Instances that ran before know the newer one and say so in
/// their messages, so an instance that starts afterwards hears from one of them first. Not thread-safe.
class RestoredConfigGuard {
public:
    /// @brief Longest time for which a starting instance waits for another one. All others may have just started, too.
    static constexpr Duration maxWait = std::chrono::seconds(2);
    /// @brief Time after which a version counts as lost if no instance has told it again: those that knew it have
    /// ended. Each instance hears from another one several times within it.
    static constexpr Duration peerVersionLifetime = std::chrono::seconds(10);

    explicit RestoredConfigGuard(TimePoint startedAt)
        : m_startedAt(startedAt)
    {
    }

    /// @brief Another instance has this version in force.
    /// @return False if this is no news.
    bool onPeerVersion(ConfigVersion version, TimePoint now);
    /// @param epoch Of the store's answer that had the configuration.
    bool admits(ConfigVersion version, store::StoreEpoch epoch, TimePoint now) const;
    /// @brief Returns the highest version that another instance has in force; 0 if none has said so lately.
    ConfigVersion newestPeerVersion(TimePoint now) const;
    /// @brief Returns true if the store may have lost what it had acknowledged.
    static bool mayHaveLost(store::StoreEpoch epoch);

private:
    TimePoint m_startedAt;
    ConfigVersion m_newestPeerVersion;
    TimePoint m_heardAt; ///< Time at which an instance last told that version.
};

} // namespace foxtailwheel::control
