#pragma once

#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/http/IoPool.h"
#include "foxtailwheel/peer/Message.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace foxtailwheel::peer {

/// @brief Reason for refusing a connection or a frame of a peer.
enum class RefusalReason { WrongKey, WrongProtocol, OversizedFrame, MalformedFrame, TruncatedFrame };

/// @brief Why a peer is disconnected.
enum class DisconnectReason {
    Lost, ///< An established connection ended or was replaced; messages to or from the peer may be lost.
    Refused, ///< The peer's address refuses connections, so its process has ended.
};

/// @brief Counters of refusals, indexed by `RefusalReason`, and of traffic.
struct TransportCounts {
    std::array<std::uint64_t, 5> refused {};
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t droppedFrames = 0; ///< Frames not sent because the peer was unreachable or too slow.
};

/// @brief Message transport between instances over TCP. Both ends authenticate with the shared key before any frame is
/// read.
class Transport {
public:
    using MessageHandler = std::function<void(Message)>;
    /// @brief Called when the connection to a peer's address ends or is refused; not for idle connections, and not for
    /// a peer that does not respond.
    using DisconnectHandler = std::function<void(const config::Endpoint&, DisconnectReason)>;

    /// @brief Starts to listen; the handlers run on the threads of the pool.
    /// @param key Secret shared by all instances.
    /// @param onDisconnect Can be empty.
    /// @return The transport, or `Errc::Unreachable` if the address cannot be bound.
    static Result<std::unique_ptr<Transport>> listen(http::IoPool& pool, const config::Endpoint& address,
        std::string key, MessageHandler onMessage, DisconnectHandler onDisconnect = {});
    virtual ~Transport() = default;

    /// @brief Sends a message without blocking; drops it if the peer is unreachable or its queue is full.
    virtual void send(const config::Endpoint& to, const Message& message) = 0;
    /// @brief Stops listening and closes all connections.
    virtual void close() = 0;
    virtual TransportCounts counts() const = 0;
    virtual std::uint16_t port() const = 0;
};

} // namespace foxtailwheel::peer
