#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::serving {

/// @brief One whole event of a `text/event-stream` body, its closing blank line included.
struct ServerSentEvent {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< From its `id:` line.
};

/// @brief Cuts a `text/event-stream` body into whole events; what is not yet whole waits.
class EventSplitter {
public:
    /// @brief Takes a chunk of any length and returns the events that it completes.
    std::vector<ServerSentEvent> feed(std::string_view chunk);
    /// @brief True where bytes of an event that is not whole are held.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }

private:
    std::string m_partialEvent;
};

} // namespace foxtailwheel::serving
