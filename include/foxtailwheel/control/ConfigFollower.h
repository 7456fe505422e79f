#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/control/ConfigStore.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::control {

/// @brief Reads the head row of the configuration.
struct ReadHead { };

/// @brief Fetches a configuration text from a peer or from the table.
struct FetchText {
    ConfigVersion version;
    std::optional<InstanceId> peer; ///< Empty for the table.
};

/// @brief Activates a configuration text.
struct InstallText {
    ConfigVersion version;
    std::string text;
};

/// @brief An action that the caller has to perform.
using ConfigFollowerAction = std::variant<ReadHead, FetchText, InstallText>;
using ConfigFollowerActions = std::vector<ConfigFollowerAction>;

/// @brief Polling periods and timeouts of a follower.
struct ConfigFollowerOptions {
    Duration pollerPeriod = std::chrono::milliseconds(500); ///< Polling period of the zone's few pollers.
    Duration nonPollerPeriod = std::chrono::seconds(5); ///< Polling period of all other instances.
    Duration fetchTimeout = std::chrono::seconds(2);
    std::size_t minPeersToStart = 2; ///< Number of peers that must report a version before a start without the table.
};

/// @brief Keeps an instance on the latest accepted configuration; the version never decreases. Not thread-safe.
///
/// The head row is polled, and peers announce their versions by gossip. A text is fetched from a peer that has it, else
/// from the table. A starting instance is caught up only after the table, or several peers, have responded.
class ConfigFollower {
public:
    ConfigFollower(ConfigFollowerOptions options, std::uint64_t seed);

    /// @brief Sets whether this instance is one of its zone's pollers.
    void setPoller(bool isPoller) { m_isPoller = isPoller; }
    /// @brief Handles timeouts and due reads; called periodically.
    void tick(TimePoint now, ConfigFollowerActions& out);
    /// @brief Handles the result of reading the head row; `head` is empty if there is no configuration yet.
    void onHead(bool succeeded, const std::optional<ConfigHead>& head, TimePoint now, ConfigFollowerActions& out);
    /// @brief Handles a peer's announcement of its active version; 0 for none.
    void onPeerVersion(const InstanceId& peer, ConfigVersion version, TimePoint now, ConfigFollowerActions& out);
    /// @brief Handles the end of a fetch; `text` is empty if it failed or a peer's text did not match its hash.
    void onText(
        ConfigVersion version, const std::optional<std::string>& text, TimePoint now, ConfigFollowerActions& out);

    /// @brief The active version; 0 for none.
    ConfigVersion activeVersion() const { return m_activeVersion; }
    /// @brief The highest version known to be accepted.
    ConfigVersion latestKnownVersion() const { return m_latestKnownVersion; }
    /// @brief True once the active version is the highest known and the table, or enough peers, have responded.
    bool caughtUp() const;

private:
    void fetchIfBehind(TimePoint now, ConfigFollowerActions& out);

    ConfigFollowerOptions m_options;
    Random m_random;
    bool m_isPoller = true;
    bool m_tableResponded = false;
    std::map<InstanceId, ConfigVersion> m_peerVersions;
    ConfigVersion m_activeVersion;
    ConfigVersion m_latestKnownVersion;
    std::optional<InstanceId> m_fetchedFrom;
    bool m_lastFetchFailed = false;
    bool m_fetching = false;
    TimePoint m_fetchDeadline {};
    TimePoint m_nextReadAt {};
};

} // namespace foxtailwheel::control
