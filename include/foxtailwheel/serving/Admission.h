#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/limits/ConcurrencyLimiter.h"
#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/serving/ConfigSnapshot.h"

#include <memory>
#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Properties of one run on which admission is decided.
struct AdmissionRequest {
    RunId run;
    ClientAccountId account;
    double weight = 1;
    std::uint32_t priority = 0;
    TimePoint deadline;
    Duration criticalPath {}; ///< Expected duration of the whole plan.
    ServiceId bottleneck; ///< The service in whose queue the run waits.
    double cost = 0; ///< Service time at the bottleneck, in seconds.
    std::vector<limits::SlotReservation> reservations;
};

/// @brief Immediate decision on a run.
enum class AdmissionDecision { Admit, Queue, Reject };

/// @brief A decision with the expected time in the queue.
struct AdmissionResult {
    AdmissionDecision decision = AdmissionDecision::Reject;
    Duration expectedWait {};
};

/// @brief Admits runs as slots of the services become available, by fair queueing over the client accounts.
///
/// Thread-safe. One lock protects all state; it is held for a few operations of logarithmic cost.
class Admission {
public:
    /// @param maxQueued Maximum number of queued runs.
    static std::unique_ptr<Admission> create(std::size_t maxQueued);
    virtual ~Admission() = default;

    /// @brief Admits, queues or rejects a new run.
    virtual AdmissionResult request(const AdmissionRequest& request, TimePoint now) = 0;
    /// @brief Releases the slots of an admitted run that has ended.
    virtual void release(const std::vector<limits::SlotReservation>& reservations) = 0;
    /// @brief An admitted run and its slot reservations.
    struct AdmittedRun {
        RunId run;
        std::vector<limits::SlotReservation> reservations;
    };
    /// @brief Runs taken from the queues: those admitted, and those that can no longer finish in time.
    struct DequeuedRuns {
        std::vector<AdmittedRun> admitted;
        std::vector<RunId> rejected;
    };
    /// @brief Admits queued runs while slots are available and rejects those that can no longer finish in time.
    virtual DequeuedRuns dequeueReady(TimePoint now) = 0;
    /// @brief Removes a queued run; its queue entry is skipped by `dequeueReady`.
    virtual void removeQueued(RunId run) = 0;
    /// @brief Sets the number of slots of a service that this instance may use.
    virtual void setSlotLimit(const ServiceId& service, double slots) = 0;
    /// @brief Fraction of the slots in use.
    virtual double utilization(const ServiceId& service) const = 0;
    virtual std::size_t queuedCount() const = 0;
};

} // namespace foxtailwheel::serving
