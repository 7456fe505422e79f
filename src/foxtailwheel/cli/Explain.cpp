#include "foxtailwheel/cli/Explain.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <string_view>

namespace foxtailwheel::cli {

namespace {

    /// The value of `name=` in a line; empty where it is missing.
    std::string_view valueOf(std::string_view line, std::string_view name)
    {
        for (auto at = line.find(name); at != std::string_view::npos; at = line.find(name, at + 1)) {
            const auto begin = at + name.size();
            const bool wholeName = at == 0 || line[at - 1] == ' ';
            if (wholeName && begin < line.size() && line[begin] == '=')
                return line.substr(begin + 1, line.find(' ', begin) - begin - 1);
        }
        return {};
    }

    /// What stands before the time, such as the name of the process that a collector adds.
    std::string processOf(std::string_view line, const std::string& fallback)
    {
        const auto at = line.find("time=");
        auto before = line.substr(0, at == std::string_view::npos ? 0 : at);
        while (before.ends_with(' '))
            before.remove_suffix(1);
        const auto space = before.rfind(' ');
        const auto word = space == std::string_view::npos ? before : before.substr(space + 1);
        return word.empty() ? fallback : std::string(word);
    }

    ExplainedLine read(std::string_view line, const std::string& source)
    {
        ExplainedLine out { std::string(valueOf(line, "time")), processOf(line, source),
            std::string(valueOf(line, "event")), {} };
        const auto at = line.find("event=");
        const auto end = line.find(' ', at);
        if (end != std::string_view::npos)
            out.fields = std::string(line.substr(end + 1));
        return out;
    }

    std::size_t countOf(std::string_view line)
    {
        const auto text = valueOf(line, "count");
        std::size_t n = 0;
        std::from_chars(text.data(), text.data() + text.size(), n);
        return n;
    }

} // namespace

Explanation explain(const std::string& request, const std::vector<LogSource>& sources)
{
    Explanation out;
    std::multimap<std::string, ExplainedLine> lines; ///< By time; those of one time in the order of the sources.
    std::vector<std::pair<std::string, std::size_t>> gaps; ///< Time and lines missing.
    for (const auto& source : sources) {
        std::string line;
        std::string time;
        while (std::getline(*source.text, line)) {
            if (const auto at = valueOf(line, "time"); !at.empty())
                time = std::string(at);
            const auto event = valueOf(line, "event");
            if (event == "lines_dropped" || event == "lines_withheld")
                gaps.emplace_back(time, countOf(line));
            else if (valueOf(line, "request") == request)
                lines.emplace(time, read(line, source.name));
        }
    }
    if (lines.empty())
        return out;
    for (auto& it : lines)
        out.lines.push_back(std::move(it.second));
    for (const auto& [time, count] : gaps) {
        if (time >= out.lines.front().time && time <= out.lines.back().time)
            out.missing += count;
    }
    return out;
}

} // namespace foxtailwheel::cli
