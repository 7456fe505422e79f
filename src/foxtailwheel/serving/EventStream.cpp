#include "foxtailwheel/serving/EventStream.h"

#include <charconv>

namespace foxtailwheel::serving {

namespace {

    /// Returns the position after the first blank line, or npos.
    std::size_t endOfEvent(std::string_view text)
    {
        for (std::size_t at = text.find('\n'); at != std::string_view::npos; at = text.find('\n', at + 1)) {
            if (text.substr(at + 1).starts_with('\n'))
                return at + 2;
            if (text.substr(at + 1).starts_with("\r\n"))
                return at + 3;
        }
        return std::string_view::npos;
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
    m_partialEvent.append(chunk);
    std::vector<ServerSentEvent> events;
    std::size_t consumed = 0;
    for (;;) {
        const auto rest = std::string_view(m_partialEvent).substr(consumed);
        const auto n = endOfEvent(rest);
        if (n == std::string_view::npos)
            break;
        const auto event = rest.substr(0, n);
        events.push_back({ std::string(event), parseEventId(event) });
        consumed += n;
    }
    m_partialEvent.erase(0, consumed);
    return events;
}

} // namespace foxtailwheel::serving
