#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/config/Difference.h"
#include "foxtailwheel/control/ConfigFollower.h"
#include "foxtailwheel/peer/Message.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace foxtailwheel::daemon {

/// @brief The text of a configuration, and its version.
struct ConfigText {
    ConfigVersion version;
    std::string text;
    std::string hash; ///< SHA-256 of the text.
};

/// @brief Fetches the text of `version` from a peer, or the patches that lead to it from `currentVersion`, the local
/// one.
using FetchFromPeer = std::function<void(const InstanceId& peer, ConfigVersion version, ConfigVersion currentVersion,
    std::function<void(peer::ConfigReply)> done)>;

/// @brief Configures the dispatcher with the highest accepted configuration, and commits operators' changes.
class ConfigService {
public:
    ConfigService(store::Table& table, const Clock& clock, serving::Dispatcher& dispatcher, FetchFromPeer fetchFromPeer,
        std::uint64_t seed);

    /// @brief Runs the periodic work; called several times a second.
    void tick();
    /// @brief Sets whether this instance is one of the few in its zone that poll the table.
    void setPoller(bool isPoller);
    /// @brief Handles the version that a peer reported as its active one.
    void onPeerVersion(const InstanceId& peer, ConfigVersion version);
    /// @brief Returns the active configuration; version 0 if there is none.
    ConfigText activeConfig() const;
    /// @brief Returns the active version, without copying the text.
    ConfigVersion version() const;
    /// @brief Returns true once it is certain enough that no higher version was accepted before the start.
    bool caughtUp() const;
    /// @brief Returns the patches or the text that bring a peer from version `current` to `requested`; empty if
    /// `requested` is not active here.
    peer::ConfigReply makeReply(ConfigVersion requested, ConfigVersion current) const;
    /// @brief Commits a validated change to the table, and activates it here if it was accepted.
    void apply(control::ConfigChangeRequest change, std::function<void(control::ApplyResult)> done);

private:
    void execute(const control::ConfigFollowerActions& actions);
    void readHead();
    void fetch(const control::FetchText& fetch);
    void fetchText(ConfigVersion version);
    void fetchText(ConfigVersion version, const std::string& hash);
    std::optional<std::string> applyPatches(const std::vector<config::Patch>& patches) const;
    void onPeerReply(ConfigVersion version, const peer::ConfigReply& reply);
    void onText(ConfigVersion version, const std::optional<std::string>& text);
    void install(const control::InstallText& install);

    store::Table& m_table;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    FetchFromPeer m_fetchFromPeer;
    mutable std::mutex m_mutex;
    control::ConfigFollower m_follower;
    ConfigText m_active;
    std::deque<config::Patch> m_patches; ///< Patches between the latest versions, oldest first.
};

} // namespace foxtailwheel::daemon
