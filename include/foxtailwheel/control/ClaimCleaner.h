#pragma once

#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Scans the claims in the table page by page and deletes those past their retention.
///
/// Normally one instance at a time does this. Concurrent cleaners are safe, because each deletion is conditional on the
/// row's version. Performs no I/O; not thread-safe.
class ClaimCleaner {
public:
    /// @brief The next page to read; empty if none is due or a read is pending.
    struct Page {
        std::string prefix;
        std::string after;
        std::size_t limit = 0;
    };
    std::optional<Page> nextPage(TimePoint now);
    /// @brief Handles a page; returns the transaction that deletes its expired rows, or empty if there are none.
    std::optional<store::Transaction> onPage(const store::ReadResult& result, TimePoint now, WallTime wallNow);
    /// @brief Number of rows in deletions so far.
    std::uint64_t deleted() const { return m_deleted; }

private:
    std::string m_after;
    bool m_pagePending = false;
    TimePoint m_nextPageAt {};
    std::uint64_t m_deleted = 0;
};

} // namespace foxtailwheel::control
