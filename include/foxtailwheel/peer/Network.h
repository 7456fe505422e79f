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

/// @brief Why a connection or a frame of a peer was refused.
enum class Refusal { WrongKey, WrongProtocol, OversizedFrame, GarbledFrame, CutFrame };

/// @brief Counts of refusals, by `Refusal`, and of traffic.
struct NetworkCounts {
    std::array<std::uint64_t, 5> refused {};
    std::uint64_t sentFrames = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedFrames = 0;
    std::uint64_t droppedFrames = 0; ///< Not sent: the peer could not be reached or did not read.
};

/// @brief Frames between instances over TCP; both ends prove the shared key before anything else is read.
class Network {
public:
    using Receive = std::function<void(Message)>;
    /// @brief Told that the connection to an address has ended at the other side: what was sent may be lost.
    using Closed = std::function<void(const config::Endpoint&)>;

    /// @brief Listens and receives on the pool's threads.
    /// @param key Shared secret of all instances.
    /// @param closed May be empty.
    static Result<std::unique_ptr<Network>> listen(
        http::IoPool& pool, const config::Endpoint& address, std::string key, Receive receive, Closed closed = {});
    virtual ~Network() = default;

    /// @brief Sends a message, or drops it where the peer cannot be reached; never blocks.
    virtual void send(const config::Endpoint& to, const Message& message) = 0;
    /// @brief Stops listening and closes all connections.
    virtual void close() = 0;
    virtual NetworkCounts counts() const = 0;
    virtual std::uint16_t port() const = 0;
};

} // namespace foxtailwheel::peer
