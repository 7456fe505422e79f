#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>

namespace foxtailwheel::routing {

/// @brief Signs that a call gave about its backend server.
enum class CallSign {
    Good, ///< The call was answered.
    Unreachable, ///< No connection could be made.
    Broken, ///< The connection ended early, went silent or the server failed.
    Busy, ///< The server refused before it started.
};

/// @brief Whether a backend server may be given work: quick to suspect, careful to return.
///
/// One refused connection or two broken calls in a row suspect the server; after a pause that doubles with every
/// failed trial, one call at a time tries it, and two good answers make it healthy again.
class Health {
public:
    /// @brief Takes what a call showed.
    void observe(CallSign sign, TimePoint now);
    /// @brief True where a call may be sent now.
    /// @param ownCalls Own calls in progress at the server.
    bool usable(TimePoint now, std::uint32_t ownCalls) const;
    /// @brief True while the server is suspected, trials included.
    bool suspected() const { return m_suspected; }

private:
    void suspect(TimePoint now);

    bool m_suspected = false;
    std::uint32_t m_badInRow = 0;
    std::uint32_t m_goodInRow = 0;
    TimePoint m_tryAt {};
    Duration m_pause {};
};

} // namespace foxtailwheel::routing
