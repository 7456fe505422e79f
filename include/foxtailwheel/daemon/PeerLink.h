#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/control/TableFollower.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/membership/Member.h"
#include "foxtailwheel/serving/PieceBroker.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief Callbacks of a peer link; all run on the single thread of its pool.
struct PeerLinkCallbacks {
    /// @brief Called when the members change, with the instances that may be given work (including this one), those of
    /// them with enough cores to own services, and those that are suspected or dead.
    std::function<void(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& unavailable)>
        onMembersChanged;
    std::function<void(const InstanceId& from, const serving::PieceMessage& message)> onPieceMessage;
    std::function<void(const InstanceId& instance)> onConnectionLost; ///< Requests sent to it may be lost.
    std::function<void(const InstanceId& instance)> onUnreachable; ///< It refuses connections: its process has ended.
    std::function<void(const control::TableUpdate& update)> onTableUpdate;
    /// @brief Returns the answer to another instance, if there is one.
    std::function<std::optional<control::TableUpdate>(const control::TableRequest& request)> onTableRequest;
    std::function<void(const membership::ServerNotice& notice)> onServerNotice; ///< Of a server that is leaving.
    std::function<void(bool)> onPollerChanged; ///< Whether this instance polls the store for its zone.
    std::function<std::vector<routing::SharedLoad>()> loadReports; ///< Returns reports for others; may be empty.
    std::function<void(const std::vector<routing::SharedLoad>& reports)> onLoadReports; ///< May be empty.
    std::function<std::vector<routing::ColdNotice>()> coldServers; ///< Returns notices for others; may be empty.
    /// @brief Called for the first message of another instance, and for each one with notices; may be empty.
    std::function<void(const std::vector<routing::ColdNotice>& notices)> onColdServers;
    std::function<ConfigVersion()> configVersion; ///< Returns the version in force, for others; may be empty.
    /// @brief Called when another instance tells its version; may be empty.
    std::function<void(const InstanceId& instance, ConfigVersion version)> onConfigVersion;
    /// @brief Returns the text of a version for another instance, if it is the one in force; may be empty.
    std::function<std::optional<std::string>(ConfigVersion version)> configText;
    /// @brief Called with the text that another instance has in force; may be empty.
    std::function<void(const std::string& text)> onConfigText;
};

/// @brief Options of a peer link.
struct PeerLinkOptions {
    std::string key; ///< Shared secret of all instances.
    std::uint64_t seed = 1;
    /// @brief Bytes of a store response, over all receivers, above which it is announced instead of forwarded.
    std::size_t maxForwardedBytes = std::size_t { 1 } << 20U;
};

/// @brief Connection of this instance to the others: membership by gossip, and messages about pieces.
class PeerLink {
public:
    /// @param self Id, listen address, zone and cores of this instance; the incarnation is set from the wall clock.
    static Result<std::unique_ptr<PeerLink>> open(http::IoPool& pool, const Clock& clock, membership::Member self,
        const PeerLinkOptions& options, PeerLinkCallbacks callbacks);
    ~PeerLink();
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    /// @brief Adds instances that were discovered by other means, unless they are known already.
    void addIfUnknown(const std::vector<membership::Member>& members);
    /// @brief Sends a message about pieces; drops it if the instance is unknown or unreachable.
    void send(const InstanceId& to, const serving::PieceMessage& message);
    /// @brief Forwards a store response to the other live instances of this zone, or only announces it if it is large.
    void sendToZone(const control::TableUpdate& update);
    /// @brief Asks some live instances, of other zones if there are any: theirs follow other pollers.
    void askForTable(const control::TableRequest& request);
    /// @brief Asks an instance for the text of a version of the configuration.
    void askForConfig(const InstanceId& instance, ConfigVersion version);
    /// @brief Tells the other instances that a server is leaving or has returned.
    void publishServerNotice(const membership::ServerNotice& notice);
    /// @brief Announces to the other instances that this one is leaving.
    void leave();
    /// @brief Returns all known instances.
    std::vector<membership::Member> members() const;

private:
    struct Impl;
    explicit PeerLink(std::shared_ptr<Impl> impl);
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::daemon
