#include "foxtailwheel/cli/Output.h"

#include <algorithm>
#include <iomanip>

namespace foxtailwheel::cli {

namespace {

    std::string cellOf(const nlohmann::json& row, const std::string& key)
    {
        if (!row.contains(key))
            return "-";
        const auto& value = row[key];
        if (value.is_array() && !value.empty() && value.front().is_string()) {
            const auto more = value.size() - 1;
            return value.front().get<std::string>() + (more > 0 ? " (and " + std::to_string(more) + " more)" : "");
        }
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

} // namespace

void printTable(std::ostream& out, const std::vector<Column>& columns, const nlohmann::json& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& it : columns) {
        std::size_t width = it.heading.size();
        for (const auto& row : rows)
            width = std::max(width, cellOf(row, it.key).size());
        widths.push_back(width);
    }
    const auto print = [&](std::size_t i, const std::string& cell) {
        const bool last = i + 1 == columns.size();
        out << std::left << std::setw(last ? 0 : static_cast<int>(widths[i] + 2)) << cell << (last ? "\n" : "");
    };
    for (std::size_t i = 0; i < columns.size(); ++i)
        print(i, columns[i].heading);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            print(i, cellOf(row, columns[i].key));
    }
}

} // namespace foxtailwheel::cli
