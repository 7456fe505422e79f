#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/store/ChangeFeed.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace foxtailwheel::control {

/// @brief Options of an outbox.
struct RowOutboxOptions {
    std::string table;
    Duration timeout = std::chrono::seconds(2); ///< Of one write.
    Duration retryDelay = std::chrono::seconds(1); ///< After a write that failed.
    std::size_t maxRows = 64; ///< Of one write; the others follow in the next one.
    /// Time for which acknowledged rows are kept to be written again: age of the oldest copy from which the store may
    /// return.
    Duration keepTime = std::chrono::seconds(60);
    std::size_t maxKeptRows = 4096;
};

/// @brief Writes rows to a table of the store until they are acknowledged, one write at a time. Of several values for
/// the same key only the last one is written. A store that returns from an older copy has lost rows that it had
/// acknowledged, so these are kept for a time. Not thread-safe.
class RowOutbox {
public:
    /// @brief Runs a function after a delay.
    using RunAfter = std::function<void(Duration, std::function<void()>)>;

    /// @param writer Must outlive the outbox.
    RowOutbox(store::RowWriter& writer, const Clock& clock, RowOutboxOptions options, RunAfter runAfter);
    ~RowOutbox();
    RowOutbox(const RowOutbox&) = delete;
    RowOutbox& operator=(const RowOutbox&) = delete;

    /// @brief Adds rows; rows without a value are removed from the table.
    void add(std::vector<store::FeedRow> rows);
    /// @brief Writes the rows again that were acknowledged lately.
    void writeAgain();
    /// @brief Number of rows that are not acknowledged yet.
    std::size_t pendingRows() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::control
