#pragma once

#include "foxtailwheel/store/ChangeFeed.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::control {

/// @brief Remembers at which version of a table each row changed, so that a copy that is a little older can be brought
/// up to date without the whole table.
class RowHistory {
public:
    static constexpr std::size_t maxRows = 4096;

    /// @brief Forgets everything: the table was read completely at this version.
    void restart(std::uint64_t version);
    /// @brief Adds changes that lead to a version.
    void add(const std::vector<store::FeedRow>& rows, std::uint64_t version);
    /// @brief Returns the rows that changed after a version, with their current values; empty if it is too old.
    std::optional<std::vector<store::FeedRow>> since(
        std::uint64_t version, const std::map<std::string, std::string>& table) const;

private:
    std::uint64_t m_first = 0; ///< Changes up to this version are not known one by one.
    std::map<std::string, std::uint64_t> m_changedAt;
};

} // namespace foxtailwheel::control
