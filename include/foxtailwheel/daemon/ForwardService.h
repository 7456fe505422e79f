#pragma once

#include "foxtailwheel/backend/ForwardProtocol.h"
#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/http/Client.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/serving/Forwarder.h"
#include "foxtailwheel/telemetry/Metrics.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace foxtailwheel::daemon {

/// @brief Carries out what a `Forwarder` decides: callers' requests in, calls to backend servers out.
///
/// Runs on the one thread of its pool, as do all callbacks that it gives out.
class ForwardService {
public:
    /// @param options The service adds its own log to them.
    ForwardService(http::IoPool& pool, http::Client& client, const Clock& clock,
        const backend::ForwardProtocol& protocol, telemetry::Metrics& metrics, serving::ForwarderOptions options);
    ~ForwardService();
    ForwardService(const ForwardService&) = delete;
    ForwardService& operator=(const ForwardService&) = delete;

    /// @brief Takes a caller's request.
    void handle(http::Request request, const std::shared_ptr<http::Responder>& responder);
    /// @brief Puts a configuration in force.
    void configure(std::shared_ptr<const config::RouteTable> table);
    /// @brief Takes the announced backend servers.
    void setServers(const std::vector<serving::AnnouncedServer>& servers);
    /// @brief The credentials in force were current at `asOf`.
    void confirmCredentials(TimePoint asOf);
    /// @brief Takes the live instances, this one included, those among them that may own services, and those that are
    /// gone.
    void setMembers(
        const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners, const std::set<InstanceId>& gone);
    /// @brief Another instance has said something about pieces.
    void onPeer(const InstanceId& from, const serving::PieceMessage& message);
    /// @brief What was asked of another instance may be lost.
    void onPeerLost(const InstanceId& instance);
    /// @brief Sets how messages to other instances are sent.
    void setTell(std::function<void(const InstanceId&, const serving::PieceMessage&)> tell);
    /// @brief From now on every new request is refused; those in progress go on.
    void stopAccepting();
    serving::ForwarderStatus status() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::daemon
