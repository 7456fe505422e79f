#pragma once

#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <map>

namespace foxtailwheel::scheduling {

/// @brief Chooses when refused callers may retry, so that they return when there is room and not all at once.
///
/// Answers a burst that exceeds the capacity: with one delay for all, the callers that were refused together return
/// together and are refused again. Each refusal is given the least loaded time slot of those that suit it. Not
/// thread-safe.
class ReturnSchedule {
public:
    /// @param seed Slots with the same load are chosen at random, differently on each instance.
    explicit ReturnSchedule(std::uint64_t seed);

    /// @brief Chooses the delay of a refused caller and counts its retry.
    /// @param cost Work that the retry is expected to bring, in any unit that is the same for all callers.
    /// @param earliest Delay after which there is room according to the forecast.
    /// @param latest Longest delay that the caller observes; it counts if it is below `earliest`.
    Duration assign(double cost, Duration earliest, Duration latest, TimePoint now);
    /// @brief Returns the work of the retries that are expected within `horizon` from now.
    double expectedCost(Duration horizon, TimePoint now) const;

    /// @brief Length of a time slot. Callers and network delay retries by a few tens of milliseconds.
    static constexpr Duration slotLength = std::chrono::milliseconds(100);

private:
    using Slot = std::int64_t;

    static Slot slotAt(TimePoint time);
    void evictPast(TimePoint now);

    Random m_random;
    std::map<Slot, double> m_costs; ///< By the slot in which the retries are expected.
};

} // namespace foxtailwheel::scheduling
