#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief The row of one lease.
struct LeaseRow {
    InstanceId holder;
    FencingNumber fencing; ///< Grows with every new holder.
    std::uint64_t renewals = 0;
};

std::string leaseKey(const ServiceId& pool);
std::string encodeLeaseRow(const LeaseRow& row);
std::optional<LeaseRow> decodeLeaseRow(const std::string& text);

/// @brief Times of a lease.
struct LeaseOptions {
    Duration life = std::chrono::seconds(10); ///< From a renewal until another may take the lease.
    Duration margin = std::chrono::seconds(2); ///< The holder stops this long before its lease ends.
    Duration renewAfter = std::chrono::seconds(3);
    Duration longestOrder
        = std::chrono::seconds(5); ///< Waited out after taking over where engines ignore fencing numbers.
};

/// @brief What the lease needs of the table next.
enum class LeaseStep { None, Read, Write };

/// @brief One instance's part in the lease of one pool; no I/O and no calendar time. Not thread-safe.
///
/// A contender takes over a row only after it has seen it unchanged for the whole life by its own monotonic clock. The
/// holder counts its life from before it sent the renewal, so it always stops first, however the clocks stand.
class Lease {
public:
    Lease(ServiceId pool, InstanceId self, LeaseOptions options);

    /// @brief The step that is due; `None` also while an answer is awaited.
    LeaseStep step(TimePoint now) const;
    /// @brief The transaction of a `Write` step; remembers that it is on its way.
    store::Transaction beginWrite(TimePoint now);
    /// @brief A `Read` step is on its way.
    void beginRead() { m_waiting = true; }
    const std::string& key() const { return m_key; }
    /// @brief Takes the answer to a `Read` step.
    void onRead(const store::ReadResult& result, TimePoint now);
    /// @brief Takes the answer to a `Write` step.
    void onWrite(const store::TransactResult& result, TimePoint now);

    /// @brief The number to order with; empty where this instance must not order now.
    /// @param fencingChecked False where engines ignore the number, so that old orders must be waited out first.
    std::optional<FencingNumber> mayOrder(TimePoint now, bool fencingChecked) const;

private:
    LeaseOptions m_options;
    ServiceId m_pool;
    InstanceId m_self;
    std::string m_key;
    bool m_waiting = false;
    bool m_known = false; ///< The row, or its absence, was read.
    std::uint64_t m_rowVersion = 0; ///< 0 where there is no row.
    LeaseRow m_row;
    TimePoint m_unchangedSince {};
    LeaseRow m_wanted;
    TimePoint m_sentAt {};
    bool m_held = false;
    TimePoint m_heldUntil {};
    TimePoint m_takenAt {};
    TimePoint m_readAt {};
};

} // namespace foxtailwheel::control
