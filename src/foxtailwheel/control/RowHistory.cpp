#include "foxtailwheel/control/RowHistory.h"

namespace foxtailwheel::control {

void RowHistory::restart(std::uint64_t version)
{
    m_first = version;
    m_changedAt.clear();
}

void RowHistory::add(const std::vector<store::FeedRow>& rows, std::uint64_t version)
{
    for (const auto& it : rows)
        m_changedAt[it.key] = version;
    if (m_changedAt.size() > maxRows)
        restart(version);
}

std::optional<std::vector<store::FeedRow>> RowHistory::since(
    std::uint64_t version, const std::map<std::string, std::string>& table) const
{
    if (version < m_first)
        return std::nullopt;
    std::vector<store::FeedRow> rows;
    for (const auto& [key, changedAt] : m_changedAt) {
        if (changedAt <= version)
            continue;
        const auto row = table.find(key);
        rows.push_back({ key, row == table.end() ? std::nullopt : std::optional(row->second) });
    }
    return rows;
}

} // namespace foxtailwheel::control
