#include "foxtailwheel/serving/EventStream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace foxtailwheel::serving {

namespace {

    constexpr std::string_view idField = "id:";

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

    /// Returns the number of an `id:` line, or nothing if it is not a number.
    std::optional<std::uint64_t> parseId(std::string_view line)
    {
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        std::uint64_t id = 0;
        const auto [rest, ec] = std::from_chars(line.data(), line.data() + line.size(), id);
        return ec == std::errc() && rest == line.data() + line.size() ? std::optional(id) : std::nullopt;
    }

    /// Reads the lines of an event; only its first `id:` line counts.
    ServerSentEvent parseEvent(std::string_view event)
    {
        ServerSentEvent out { std::string(event), std::nullopt, false };
        bool hasId = false;
        while (!event.empty()) {
            const auto end = event.find('\n');
            const auto line = event.substr(0, end);
            event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
            out.hasFields = out.hasFields || (!line.empty() && line != "\r" && !line.starts_with(':'));
            if (line.starts_with(idField) && !std::exchange(hasId, true))
                out.id = parseId(line);
        }
        return out;
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
        events.push_back(parseEvent(text.substr(consumed, end - consumed)));
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
