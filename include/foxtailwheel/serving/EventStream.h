#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace foxtailwheel::serving {

/// @brief One complete event of a `text/event-stream` body, including the blank line that ends it.
struct ServerSentEvent {
    std::string bytes;
    std::optional<std::uint64_t> id; ///< From its `id:` line.
};

/// @brief Splits a `text/event-stream` body into complete events and buffers the incomplete rest.
class EventSplitter {
public:
    /// @brief Adds a chunk of any length and returns the events that it completes.
    std::vector<ServerSentEvent> feed(std::string_view chunk);
    /// @brief Returns true if an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }

private:
    std::string m_partialEvent;
};

} // namespace foxtailwheel::serving
