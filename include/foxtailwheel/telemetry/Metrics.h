#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailwheel::telemetry {

/// @brief One label of a metric.
struct Label {
    std::string name;
    std::string value;
};

/// @brief Labels of a metric in a fixed order.
using Labels = std::vector<Label>;

/// @brief Counters, gauges and time distributions of one process; thread-safe, in shards by metric.
class Metrics {
public:
    static std::unique_ptr<Metrics> create();
    virtual ~Metrics() = default;

    /// @brief Adds to a counter.
    virtual void count(const std::string& name, const Labels& labels, double n = 1) = 0;
    /// @brief Sets a gauge.
    virtual void gauge(const std::string& name, const Labels& labels, double value) = 0;
    /// @brief Adds a measured time; median, 95th and 99th in 100 are kept.
    virtual void time(const std::string& name, const Labels& labels, Duration d) = 0;
    /// @brief All metrics in Prometheus text form.
    virtual std::string text() const = 0;
};

} // namespace foxtailwheel::telemetry
