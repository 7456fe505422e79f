#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/store/Table.h"

#include <cstdint>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Row of a lease in the table.
struct LeaseRow {
    InstanceId holder;
    FencingToken fencing; ///< Increases with every new holder.
    std::uint64_t renewals = 0;
};

std::string leaseKey(const ServiceId& pool);
std::string encodeLeaseRow(const LeaseRow& row);
std::optional<LeaseRow> decodeLeaseRow(const std::string& text);

/// @brief Timing of a lease.
struct LeaseOptions {
    Duration lifetime = std::chrono::seconds(10); ///< Time from a renewal until another instance may acquire the lease.
    Duration safetyMargin = std::chrono::seconds(2); ///< The holder stops using the lease this long before it expires.
    Duration renewAfter = std::chrono::seconds(3); ///< Time from a write until the next renewal.
    /// Maximum duration of an order; a new holder waits for it if engines ignore fencing tokens.
    Duration maxOrderDuration = std::chrono::seconds(5);
};

/// @brief The next operation on the table.
enum class LeaseStep { None, Read, Write };

/// @brief One instance's view of the lease of one pool; performs no I/O and uses no wall-clock time. Not thread-safe.
///
/// A contender acquires the lease only after it has observed the row unchanged for the full lifetime on its own
/// monotonic clock. The holder measures the lifetime from before it sent the renewal, so it always stops first,
/// whatever the offset between the clocks.
class Lease {
public:
    Lease(ServiceId pool, InstanceId self, LeaseOptions options);

    /// @brief The next step; `None` also while a response is pending.
    LeaseStep step(TimePoint now) const;
    /// @brief Starts a `Write` step and returns its transaction.
    store::Transaction beginWrite(TimePoint now);
    /// @brief Starts a `Read` step.
    void beginRead() { m_requestPending = true; }
    const std::string& key() const { return m_key; }
    /// @brief Handles the response to a `Read` step.
    void onRead(const store::ReadResult& result, TimePoint now);
    /// @brief Handles the response to a `Write` step.
    void onWrite(const store::TransactResult& result, TimePoint now);

    /// @brief The fencing token for orders; empty if this instance must not send orders now.
    /// @param fencingChecked False if engines ignore the token, so that orders of the previous holder must expire
    /// first.
    std::optional<FencingToken> currentFencingToken(TimePoint now, bool fencingChecked) const;

private:
    LeaseOptions m_options;
    ServiceId m_pool;
    InstanceId m_self;
    std::string m_key;
    bool m_requestPending = false;
    bool m_rowKnown = false; ///< The row, or its absence, has been read.
    std::uint64_t m_rowVersion = 0; ///< 0 if the row does not exist.
    LeaseRow m_row;
    TimePoint m_unchangedSince {};
    LeaseRow m_pendingRow;
    TimePoint m_sentAt {};
    bool m_held = false;
    TimePoint m_heldUntil {};
    TimePoint m_acquiredAt {};
    TimePoint m_nextReadAt {};
};

} // namespace foxtailwheel::control
