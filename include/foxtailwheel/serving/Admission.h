#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/limits/CapacityGate.h"
#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/serving/Catalog.h"

#include <memory>
#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief What admission knows of one run.
struct AdmissionRequest {
    RunId run;
    ClientAccountId account;
    double weight = 1;
    std::uint32_t priority = 0;
    TimePoint deadline;
    Duration criticalPath {}; ///< Expected time of the whole plan.
    ServiceId bottleneck; ///< The service whose queue the run waits in.
    double cost = 0; ///< Service time at the bottleneck, in seconds.
    std::vector<limits::SlotHold> holds;
};

/// @brief What admission decided at once.
enum class Verdict { Start, Wait, Refuse };

/// @brief A verdict with the time that waiting is expected to take.
struct AdmissionVerdict {
    Verdict verdict = Verdict::Refuse;
    Duration expectedWait {};
};

/// @brief Lets runs in as the services have room, fairly over client accounts.
///
/// Thread-safe under one lock, which is held for a few logarithmic steps.
class Admission {
public:
    /// @param maxQueued Most runs that may wait.
    static std::unique_ptr<Admission> create(std::size_t maxQueued);
    virtual ~Admission() = default;

    /// @brief Decides on a new run.
    virtual AdmissionVerdict request(const AdmissionRequest& request, TimePoint now) = 0;
    /// @brief A run that was let in has ended.
    virtual void leave(const std::vector<limits::SlotHold>& holds) = 0;
    /// @brief A run that has entered with these holds.
    struct Started {
        RunId run;
        std::vector<limits::SlotHold> holds;
    };
    /// @brief Runs that may start now, and those that can no longer finish in time.
    struct Admitted {
        std::vector<Started> started;
        std::vector<RunId> refused;
    };
    /// @brief Lets waiting runs in as far as there is room.
    virtual Admitted pump(TimePoint now) = 0;
    /// @brief A waiting run has ended; it is skipped when its turn comes.
    virtual void forget(RunId run) = 0;
    /// @brief Sets the slots that this instance may fill.
    virtual void setLimit(const ServiceId& service, double slots) = 0;
    /// @brief Share of the slots in use.
    virtual double utilization(const ServiceId& service) const = 0;
    virtual std::size_t queued() const = 0;
};

} // namespace foxtailwheel::serving
