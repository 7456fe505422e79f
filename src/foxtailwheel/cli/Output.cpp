#include "foxtailwheel/cli/Output.h"

#include <algorithm>
#include <iomanip>

namespace foxtailwheel::cli {

namespace {

    std::string formatCell(const nlohmann::json& row, const std::string& key)
    {
        if (!row.contains(key))
            return "-";
        const auto& value = row[key];
        if (value.is_array() && !value.empty() && value.front().is_string()) {
            const auto remaining = value.size() - 1;
            return value.front().get<std::string>()
                + (remaining > 0 ? " (and " + std::to_string(remaining) + " more)" : "");
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
            width = std::max(width, formatCell(row, it.key).size());
        widths.push_back(width);
    }
    const auto printCell = [&](std::size_t i, const std::string& cell) {
        const bool isLastColumn = i + 1 == columns.size();
        out << std::left << std::setw(isLastColumn ? 0 : static_cast<int>(widths[i] + 2)) << cell
            << (isLastColumn ? "\n" : "");
    };
    for (std::size_t i = 0; i < columns.size(); ++i)
        printCell(i, columns[i].heading);
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < columns.size(); ++i)
            printCell(i, formatCell(row, columns[i].key));
    }
}

} // namespace foxtailwheel::cli
