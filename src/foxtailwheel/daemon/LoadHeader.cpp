#include "LoadHeader.h"

#include <charconv>

namespace foxtailwheel::daemon {

bool parseLoadHeader(const http::Headers& headers, routing::LoadReport& report)
{
    const auto text = http::findHeader(headers, "X-Load");
    const auto comma = text.find(',');
    if (comma == std::string_view::npos)
        return false;
    const auto* end = text.data() + text.size();
    const bool running = std::from_chars(text.data(), end, report.running).ec == std::errc {};
    const bool queued = std::from_chars(text.data() + comma + 1, end, report.queued).ec == std::errc {};
    return running && queued;
}

} // namespace foxtailwheel::daemon
