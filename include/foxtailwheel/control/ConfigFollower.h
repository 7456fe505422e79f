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

/// @brief Read the configuration's head row.
struct ReadHead { };

/// @brief Fetch a text, from a peer or from the table.
struct FetchText {
    ConfigVersion version;
    std::optional<InstanceId> peer; ///< Empty for the table.
};

/// @brief Put a text in force.
struct InstallText {
    ConfigVersion version;
    std::string text;
};

/// @brief One thing that the driver has to do.
using FollowAction = std::variant<ReadHead, FetchText, InstallText>;
using FollowActions = std::vector<FollowAction>;

/// @brief How often the table is asked.
struct FollowOptions {
    Duration pollerPeriod = std::chrono::milliseconds(500); ///< On the few instances of a zone that poll.
    Duration slowPeriod = std::chrono::seconds(5); ///< On all others.
    Duration fetchTimeout = std::chrono::seconds(2);
    std::size_t peersToStart = 2; ///< Peers that must be asked before starting without the table.
};

/// @brief Keeps one instance on the highest accepted configuration; the version never goes down. Not thread-safe.
///
/// The head is polled; peers announce their versions by gossip; texts come from a peer that has them, else from the
/// table. An instance that starts takes part only once the table answered, or several peers did.
class ConfigFollower {
public:
    ConfigFollower(FollowOptions options, std::uint64_t seed);

    /// @brief Says whether this instance is one of its zone's few pollers.
    void setPoller(bool isPoller) { m_isPoller = isPoller; }
    /// @brief Lets time pass.
    void tick(TimePoint now, FollowActions& out);
    /// @brief The head row was read; empty where there is no configuration yet.
    void onHead(bool answered, const std::optional<ConfigHead>& head, TimePoint now, FollowActions& out);
    /// @brief A peer said which version it has in force; 0 for none.
    void onAnnounced(const InstanceId& peer, ConfigVersion version, TimePoint now, FollowActions& out);
    /// @brief A fetch ended; the driver has checked the text against its hash.
    void onText(ConfigVersion version, const std::optional<std::string>& text, TimePoint now, FollowActions& out);

    /// @brief The version in force; 0 for none.
    ConfigVersion inForce() const { return m_inForce; }
    /// @brief The highest version known to have been accepted.
    ConfigVersion known() const { return m_known; }
    /// @brief True once it is certain enough that no higher version was accepted before the start.
    bool caughtUp() const;

private:
    void fetchIfBehind(TimePoint now, FollowActions& out);

    FollowOptions m_options;
    Random m_random;
    bool m_isPoller = true;
    bool m_tableAnswered = false;
    std::map<InstanceId, ConfigVersion> m_announced;
    ConfigVersion m_inForce;
    ConfigVersion m_known;
    std::optional<InstanceId> m_fetchedFrom;
    bool m_lastFetchFailed = false;
    bool m_fetching = false;
    TimePoint m_fetchUntil {};
    TimePoint m_readAt {};
};

} // namespace foxtailwheel::control
