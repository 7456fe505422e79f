#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace foxtailwheel::routing {

/// @brief Load of a server as an instance saw it in a response, for other instances.
struct SharedLoad {
    std::uint64_t server = 0; ///< Hash of the id of the server.
    std::uint32_t running = 0; ///< Calls in execution.
    std::uint32_t queued = 0; ///< Calls in the queue of the server.
    double slowdown = 1; ///< Time that work takes there, relative to usual.
    Duration age {}; ///< Time since the measurement.
    /// @brief Time of a call measured by the sender, without the slowdown, relative to that on a mean server; 0 if
    /// none.
    double timeRatio = 0;

    friend bool operator==(const SharedLoad&, const SharedLoad&) = default;
};

/// @brief Limits of the load reports that instances pass on.
struct LoadExchangeOptions {
    std::size_t maxReports = 64; ///< In one message; 18 bytes each.
    std::size_t maxServers = 4096; ///< For which the newest report is kept.
    Duration maxAge = std::chrono::seconds(5); ///< Older reports are dropped: running calls have changed by then.
};

/// @brief Newest load reports of all servers, from own responses and from other instances. Not thread-safe.
///
/// A message holds the newest reports first. The age of a report is the sum of the times that it spent on each
/// instance, so that no common clock is needed; the time on the network is not counted.
class LoadExchange {
public:
    explicit LoadExchange(LoadExchangeOptions options = {});

    /// @brief Adds a report of an own response or of another instance. Returns false if it is known, or a
    /// newer one, or if it is too old.
    bool add(const SharedLoad& report, TimePoint now);
    /// @brief Adds a time ratio that this instance has measured to the newest report of a server, if there is one.
    void setTimeRatio(std::uint64_t server, double ratio);
    /// @brief Returns the newest reports, newest first.
    std::vector<SharedLoad> newest(TimePoint now);
    /// @brief Returns the mean age of the reports that are kept; 0 if there are none.
    Duration meanAge(TimePoint now) const;
    std::size_t size() const { return m_reports.size(); }

private:
    using Order = std::multimap<TimePoint, std::uint64_t>;

    void dropOldest();

    LoadExchangeOptions m_options;
    Order m_byTime;
    struct Known {
        SharedLoad report;
        Order::iterator position;
    };
    std::unordered_map<std::uint64_t, Known> m_reports;
};

} // namespace foxtailwheel::routing
