#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/control/Claim.h"

#include <functional>
#include <memory>

namespace foxtailwheel::control {

/// @brief Runs `work` after a delay; the driver's timer.
using Defer = std::function<void(Duration, std::function<void()>)>;

/// @brief Makes and records claims through the table; thread-safe.
class ClaimKeeper {
public:
    /// @param table Must outlive the keeper, like `clock`.
    static std::unique_ptr<ClaimKeeper> create(
        store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, Defer defer);
    virtual ~ClaimKeeper() = default;

    /// @brief Claims; `done` is called once, soon after the call's deadline at the latest.
    virtual void claim(const serving::ClaimCall& call, std::function<void(pipeline::ClaimResult)> done) = 0;
    /// @brief Records how a claimed call ended; tried again while the table is away, for `recordPatience`.
    virtual void end(const serving::EndClaim& ended) = 0;
    /// @brief Records that are still on their way.
    virtual std::size_t pendingRecords() const = 0;

    /// @brief Longest time that a record is tried again.
    static constexpr Duration recordPatience = std::chrono::minutes(15);
};

} // namespace foxtailwheel::control
