#include "foxtailwheel/cli/Explain.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <set>
#include <string_view>
#include <tuple>

namespace foxtailwheel::cli {

namespace {

    /// Returns the value of the field `name` in a line, or an empty view.
    std::string_view fieldValue(std::string_view line, std::string_view name)
    {
        for (auto pos = line.find(name); pos != std::string_view::npos; pos = line.find(name, pos + 1)) {
            const auto begin = pos + name.size();
            const bool isFieldStart = pos == 0 || line[pos - 1] == ' ';
            if (isFieldStart && begin < line.size() && line[begin] == '=')
                return line.substr(begin + 1, line.find(' ', begin) - begin - 1);
        }
        return {};
    }

    /// Returns the last word before the time, such as a process name added by a log collector, or `fallback`.
    std::string processName(std::string_view line, const std::string& fallback)
    {
        const auto pos = line.find("time=");
        auto prefix = line.substr(0, pos == std::string_view::npos ? 0 : pos);
        while (prefix.ends_with(' '))
            prefix.remove_suffix(1);
        const auto space = prefix.rfind(' ');
        const auto word = space == std::string_view::npos ? prefix : prefix.substr(space + 1);
        return word.empty() ? fallback : std::string(word);
    }

    LogEntry parseEntry(std::string_view line, const std::string& source)
    {
        LogEntry out { std::string(fieldValue(line, "time")), processName(line, source),
            std::string(fieldValue(line, "event")), {} };
        const auto pos = line.find("event=");
        const auto end = line.find(' ', pos);
        if (end != std::string_view::npos)
            out.fields = std::string(line.substr(end + 1));
        return out;
    }

    /// Whether the line is about a server that has told an instance to send it no calls.
    bool isServerEvent(std::string_view event)
    {
        return event == "server_leaving" || event == "server_paused";
    }

    /// Returns the last of the events about each server that one of the entries names, or whose service had no server
    /// for the request, on the same process and before the last entry.
    std::vector<LogEntry> relevantServerEvents(
        const std::multimap<std::string, LogEntry>& entries, const std::multimap<std::string, LogEntry>& serverEvents)
    {
        std::set<std::pair<std::string, std::string_view>> servers; ///< By process.
        std::set<std::pair<std::string, std::string_view>> services;
        for (const auto& [time, it] : entries) {
            if (const auto server = fieldValue(it.fields, "server"); !server.empty())
                servers.emplace(it.process, server);
            if (fieldValue(it.fields, "reason") == "servers_paused")
                services.emplace(it.process, fieldValue(it.fields, "service"));
        }
        std::map<std::tuple<std::string, std::string, std::string_view>, LogEntry> last;
        for (const auto& [time, it] : serverEvents) {
            const auto server = fieldValue(it.fields, "server");
            const bool isRelevant = servers.contains({ it.process, server })
                || services.contains({ it.process, fieldValue(it.fields, "service") });
            if (isRelevant && time <= entries.rbegin()->first)
                last.insert_or_assign({ it.process, it.event, server }, it);
        }
        std::vector<LogEntry> out;
        for (const auto& it : last)
            out.push_back(it.second);
        return out;
    }

    std::size_t lineCount(std::string_view line)
    {
        const auto text = fieldValue(line, "count");
        std::size_t n = 0;
        std::from_chars(text.data(), text.data() + text.size(), n);
        return n;
    }

} // namespace

RequestTimeline collectTimeline(const std::string& requestId, const std::vector<LogSource>& sources)
{
    RequestTimeline out;
    std::multimap<std::string, LogEntry> entries; ///< Key: time; equal times keep the order of the sources.
    std::multimap<std::string, LogEntry> serverEvents; ///< Key: time.
    std::vector<std::pair<std::string, std::size_t>> lineGaps; ///< Time and number of lost lines.
    for (const auto& source : sources) {
        std::string line;
        std::string time;
        while (std::getline(*source.stream, line)) {
            if (const auto value = fieldValue(line, "time"); !value.empty())
                time = std::string(value);
            const auto event = fieldValue(line, "event");
            if (event == "lines_dropped" || event == "lines_withheld")
                lineGaps.emplace_back(time, lineCount(line));
            else if (isServerEvent(event))
                serverEvents.emplace(time, parseEntry(line, source.name));
            else if (fieldValue(line, "request") == requestId)
                entries.emplace(time, parseEntry(line, source.name));
        }
    }
    if (entries.empty())
        return out;
    const auto startedAt = entries.begin()->first;
    for (auto& it : relevantServerEvents(entries, serverEvents))
        entries.emplace(it.time, it);
    for (auto& it : entries)
        out.entries.push_back(std::move(it.second));
    for (const auto& [time, count] : lineGaps) {
        if (time >= startedAt && time <= out.entries.back().time)
            out.missingLines += count;
    }
    return out;
}

} // namespace foxtailwheel::cli
