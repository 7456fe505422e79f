#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Walks over the claims in the table, page by page, and deletes those that were kept for their whole life.
///
/// One instance does it at a time, but nothing depends on that: a row is deleted under the condition of its version.
/// No I/O; not thread-safe.
class ClaimCleaner {
public:
    /// @brief The page that is due; empty while none is or one is on its way.
    struct Page {
        std::string prefix;
        std::string after;
        std::size_t limit = 0;
    };
    std::optional<Page> duePage(TimePoint now);
    /// @brief Takes a page; gives the transaction that deletes what has lapsed, where anything has.
    std::optional<store::Transaction> onPage(const store::ReadResult& result, TimePoint now, WallTime calendar);
    /// @brief Rows deleted so far.
    std::uint64_t deleted() const { return m_deleted; }

private:
    std::string m_after;
    bool m_waiting = false;
    TimePoint m_dueAt {};
    std::uint64_t m_deleted = 0;
};

} // namespace foxtailwheel::control
