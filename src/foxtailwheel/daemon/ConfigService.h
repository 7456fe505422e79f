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

/// @brief A text in force with its version.
struct ConfigText {
    ConfigVersion version;
    std::string text;
    std::string hash; ///< SHA-256 of the text.
};

/// @brief Gets a text from a peer.
using FetchFromPeer = std::function<void(
    const InstanceId& peer, ConfigVersion version, ConfigVersion have, std::function<void(peer::ConfigReply)> done)>;

/// @brief Keeps the dispatcher on the highest accepted configuration, and applies operators' changes.
class ConfigService {
public:
    ConfigService(store::Table& table, const Clock& clock, serving::Dispatcher& dispatcher, FetchFromPeer fetchFromPeer,
        std::uint64_t seed);

    /// @brief Lets time pass; called some times a second.
    void tick();
    /// @brief Says whether this instance is one of its zone's few pollers.
    void setPoller(bool isPoller);
    /// @brief A peer said which version it has.
    void onAnnounced(const InstanceId& peer, ConfigVersion version);
    /// @brief The text in force; version 0 for none.
    ConfigText inForce() const;
    /// @brief The version in force alone, without a copy of the text.
    ConfigVersion version() const;
    bool caughtUp() const;
    /// @brief What a peer that has version `have` in force needs for `wanted`.
    peer::ConfigReply replyFor(ConfigVersion wanted, ConfigVersion have) const;
    /// @brief Applies a change that was checked already.
    void apply(control::WantedChange wanted, std::function<void(control::ApplyResult)> done);

private:
    void perform(const control::FollowActions& actions);
    void readHead();
    void fetch(const control::FetchText& fetch);
    void fetchText(ConfigVersion version);
    std::optional<std::string> patched(const std::vector<config::Patch>& patches) const;
    void onReply(ConfigVersion version, const peer::ConfigReply& reply);
    void onText(ConfigVersion version, const std::optional<std::string>& text);
    void install(const control::InstallText& install);

    store::Table& m_table;
    const Clock& m_clock;
    serving::Dispatcher& m_dispatcher;
    FetchFromPeer m_fetchFromPeer;
    mutable std::mutex m_mutex;
    control::ConfigFollower m_follower;
    ConfigText m_inForce;
    std::deque<config::Patch> m_patches; ///< The latest, in their order.
};

} // namespace foxtailwheel::daemon
