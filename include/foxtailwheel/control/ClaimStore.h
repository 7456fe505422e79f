#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/control/Claim.h"

#include <functional>
#include <memory>

namespace foxtailwheel::control {

/// @brief Runs a function after a delay.
using RunAfter = std::function<void(Duration, std::function<void()>)>;

/// @brief Inserts claims into the table and records their outcomes. Thread-safe.
class ClaimStore {
public:
    /// @param table Must outlive the claim store, like `clock`.
    static std::unique_ptr<ClaimStore> create(
        store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, RunAfter runAfter);
    virtual ~ClaimStore() = default;

    /// @brief Requests a claim; `done` is called once, shortly after the call's deadline at the latest.
    virtual void acquire(const serving::AcquireClaim& call, std::function<void(pipeline::ClaimResult)> done) = 0;
    /// @brief Records the outcome of a claimed call; retried for up to `recordRetryTimeout` on failure.
    virtual void complete(const serving::CompleteClaim& completion) = 0;
    /// @brief Number of records that are not yet written.
    virtual std::size_t pendingRecords() const = 0;

    /// @brief Time after which a record is no longer retried.
    static constexpr Duration recordRetryTimeout = std::chrono::minutes(15);
};

} // namespace foxtailwheel::control
