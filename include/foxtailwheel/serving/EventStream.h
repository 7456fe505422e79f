#pragma once

#include <cstddef>
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
    bool hasFields = false; ///< False if it only consists of comment lines.
};

/// @brief Splits a `text/event-stream` body into complete events and buffers the incomplete rest. The work is linear in
/// the bytes, whatever the chunk size.
class EventSplitter {
public:
    static constexpr std::size_t defaultMaxEventBytes = std::size_t { 256 } << 10U;

    /// @param maxEventBytes Size above which an incomplete event counts as oversized.
    explicit EventSplitter(std::size_t maxEventBytes = defaultMaxEventBytes)
        : m_maxEventBytes(maxEventBytes)
    {
    }

    /// @brief Adds a chunk of any length and returns the events that it completes; none once an event was oversized.
    std::vector<ServerSentEvent> feed(std::string_view chunk);
    /// @brief Returns true if an incomplete event is buffered.
    bool hasPartialEvent() const { return !m_partialEvent.empty(); }
    /// @brief Returns the size of the buffered incomplete event, in bytes.
    std::size_t partialBytes() const { return m_partialEvent.size(); }
    /// @brief Returns true once an event was larger than the maximum. Its bytes are not kept.
    bool isOversized() const { return m_oversized; }

private:
    std::size_t m_maxEventBytes;
    std::string m_partialEvent;
    std::size_t m_searchFrom = 0; ///< No event ends before this position of `m_partialEvent`.
    bool m_oversized = false;
};

} // namespace foxtailwheel::serving
