#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace foxtailwheel::serving {

/// @brief Room for results at the servers of one service, as far as this instance had them made. Not thread-safe.
///
/// A result takes room from the start of its call until it is released or its life is over.
class ResultRoom {
public:
    /// @brief Takes the room of one server and the life of a result after its call.
    void setLimits(std::uint64_t bytes, Duration life);
    /// @brief Room that is left at a server; without a limit, more than any call needs.
    std::uint64_t left(const BackendServerId& server, TimePoint now);
    /// @brief A call that will make so many bytes was sent.
    void reserve(const BackendServerId& server, std::uint64_t bytes);
    /// @brief The call has ended; its results are added one by one.
    void unreserve(const BackendServerId& server, std::uint64_t bytes);
    /// @brief A result lies at a server.
    void made(const BackendServerId& server, const std::string& handle, std::uint64_t bytes, TimePoint now);
    /// @brief A result is being released; its room is free once the server has been told.
    /// @return False where it is not known here, or was released before.
    bool released(const BackendServerId& server, const std::string& handle, TimePoint now);
    /// @brief When room of released results comes free next.
    std::optional<TimePoint> nextFree(TimePoint now);
    /// @brief The server said that it has no room for a result: results that are not known here take the rest, such as
    /// those of an owner before. They are taken to end one by one.
    void refused(const BackendServerId& server, std::uint64_t bytes, TimePoint now);

private:
    struct Result {
        std::uint64_t bytes = 0;
        TimePoint until;
        bool releasing = false;
    };
    struct Server {
        std::uint64_t used = 0; ///< Reserved or made.
        std::uint64_t unknown = 0; ///< Taken by results that are not known here, at `unknownAt`.
        TimePoint unknownAt {};
        std::map<std::string, Result> results;
    };

    static std::uint64_t unknownNow(const Server& server, TimePoint now);

    std::map<BackendServerId, Server> m_servers;
    std::uint64_t m_bytes = 0;
    Duration m_life {};
    std::deque<TimePoint> m_freeAt; ///< Of results that are being released, in ascending order.
};

} // namespace foxtailwheel::serving
