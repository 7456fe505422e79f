#include "foxtailwheel/serving/EventStream.h"

#include <algorithm>
#include <charconv>

namespace foxtailwheel::serving {

namespace {

    /// Returns the position after the first blank line whose preceding line ends at or after `from`, or npos.
    std::size_t endOfEvent(std::string_view text, std::size_t from)
    {
        for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
            if (text.substr(at + 1).starts_with('\n'))
                return at + 2;
            if (text.substr(at + 1).starts_with("\r\n"))
                return at + 3;
        }
        return std::string_view::npos;
    }

    /// Returns true if a line other than a comment or a blank line is present.
    bool containsField(std::string_view event)
    {
        while (!event.empty()) {
            const auto end = event.find('\n');
            const auto line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
            if (!line.empty() && line != "\r" && !line.starts_with(':'))
                return true;
        }
        return false;
    }

    /// Returns the number in the first `id:` line, or nothing if there is none or it is not a number.
    std::optional<std::uint64_t> parseEventId(std::string_view event)
    {
        while (!event.empty()) {
            const auto end = event.find('\n');
            auto line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
            if (!line.starts_with("id:"))
                continue;
            line.remove_prefix(3);
            if (line.starts_with(' '))
                line.remove_prefix(1);
            std::uint64_t id = 0;
            const auto [rest, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
            return ec == std::errc() ? std::optional(id) : std::nullopt;
        }
        return std::nullopt;
    }

} // namespace

std::vector<ServerSentEvent> EventSplitter::feed(std::string_view chunk)
{
    std::vector<ServerSentEvent> events;
    if (m_oversized)
        return events;
    m_partialEvent.append(chunk);
    const std::string_view text = m_partialEvent;
    std::size_t consumed = 0;
    std::size_t searchFrom = m_searchFrom;
    for (;;) {
        const auto end = endOfEvent(text, searchFrom);
        if (end == std::string_view::npos)
            break;
        const auto event = text.substr(consumed, end - consumed);
        events.push_back({ std::string(event), parseEventId(event), containsField(event) });
        consumed = end;
        searchFrom = end;
    }
    m_partialEvent.erase(0, consumed);
    // The blank line can still be completed after a trailing "\n" or "\n\r".
    m_searchFrom = m_partialEvent.size() - std::min<std::size_t>(m_partialEvent.size(), 2);
    if (m_partialEvent.size() > m_maxEventBytes) {
        m_oversized = true;
        std::string().swap(m_partialEvent);
    }
    return events;
}

} // namespace foxtailwheel::serving
