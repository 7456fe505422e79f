#pragma once

#include "foxtailwheel/backend/ForwardProtocol.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/serving/Forwarder.h"
#include "foxtailwheel/telemetry/Metrics.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief Options of a service.
struct ForwardServiceOptions {
    serving::ForwarderOptions forwarder; ///< The service sets the decision log.
    std::uint64_t maxBodyBytes = std::uint64_t { 8 } << 20U; ///< A call whose response has a larger body fails.
};

/// @brief Executes the actions of a `Forwarder`: receives callers' requests and sends calls to backend servers.
///
/// Runs on the single thread of its pool, as do all callbacks that it registers.
class ForwardService {
public:
    ForwardService(http::IoPool& pool, http::Client& client, const Clock& clock,
        const backend::ForwardProtocol& protocol, telemetry::Metrics& metrics, ForwardServiceOptions options);
    ~ForwardService();
    ForwardService(const ForwardService&) = delete;
    ForwardService& operator=(const ForwardService&) = delete;

    /// @brief Handles a caller's request; a malformed one is answered with status 400.
    void handle(http::Request request, const std::shared_ptr<http::Responder>& responder);
    /// @brief Activates a configuration.
    void configure(std::shared_ptr<const config::RouteTable> table);
    /// @brief Explains where a request would go now, without sending it.
    serving::PlacementExplanation explainPlacement(const serving::ForwardRequest& request);
    /// @brief Sets the announced backend servers.
    void setServers(const std::vector<serving::AnnouncedServer>& servers);
    /// @brief Replaces the drained zones, whose servers get no calls.
    void setDrainedZones(const std::set<AvailabilityZoneId>& zones);
    /// @brief Confirms that version `configVersion` and its credentials were current at `asOf`; false if a newer one is
    /// active.
    bool confirmCredentials(std::uint64_t configVersion, TimePoint asOf);
    /// @brief Sets the cluster members.
    /// @param live Live instances, including this one.
    /// @param owners Live instances that may own services.
    /// @param unavailable Known instances that are suspected or dead.
    void setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& unavailable);
    /// @brief Handles a message about pieces from another instance.
    void onPeerMessage(const InstanceId& from, const serving::PieceMessage& message);
    /// @brief Handles the loss of a connection to another instance: requests sent to it may be lost.
    void onPeerConnectionLost(const InstanceId& instance);
    /// @brief Handles an instance whose process has ended.
    void onPeerUnreachable(const InstanceId& instance);
    /// @brief Sets the function that sends messages to other instances.
    void setSendToInstance(std::function<void(const InstanceId&, const serving::PieceMessage&)> send);
    /// @brief Sets the function that shares crash records with all instances.
    void setShareCrashRecords(std::function<void(const serving::CrashRecordUpdate&)> share);
    /// @brief Sets the function that tells all instances of a server that is leaving.
    void setShareLeavingServer(std::function<void(const serving::LeavingServer&)> share);
    /// @brief Another instance learned that a server is leaving.
    void onServerLeaving(const serving::LeavingServer& server);
    /// @brief Returns the newest load reports of servers, for other instances.
    std::vector<routing::SharedLoad> loadReports();
    /// @brief Sets the metrics of the known load of servers.
    void updateLoadMetrics();
    /// @brief Handles load reports of another instance.
    void onSharedLoads(const std::vector<routing::SharedLoad>& reports);
    /// @brief Returns the servers that this instance knows to be cold, for other instances.
    std::vector<routing::ColdNotice> coldServers();
    /// @brief Handles what another instance said of cold servers.
    void onColdServers(const std::vector<routing::ColdNotice>& notices);
    /// @brief Replaces the crash records that the instances share.
    void setCrashRecords(const std::vector<serving::CrashRecord>& records);
    /// @brief Rejects all new requests; requests in progress continue.
    void stopAccepting();
    /// @brief See `Forwarder::setCredentialMaxAge`.
    void setCredentialMaxAge(Duration age);
    /// @brief The process ends at `endsAt`; see `Forwarder::beginShutdown`.
    void beginShutdown(TimePoint endsAt);
    /// @brief Ends all requests in progress, because the process is about to end.
    void endAll();
    serving::ForwarderStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::daemon
