#pragma once

#include "foxtailwheel/base/Units.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace foxtailwheel::telemetry {

/// @brief A label of a metric.
struct Label {
    std::string name;
    std::string value;
};

/// @brief Labels of a metric. Their order is part of the identity of a time series.
using Labels = std::vector<Label>;

/// @brief Counters, gauges and duration summaries of a process. Thread-safe; sharded by metric name.
class Metrics {
public:
    static std::unique_ptr<Metrics> create();
    virtual ~Metrics() = default;

    /// @brief Increments a counter by `n`.
    virtual void increment(const std::string& name, const Labels& labels, double n = 1) = 0;
    /// @brief Sets a gauge.
    virtual void setGauge(const std::string& name, const Labels& labels, double value) = 0;
    /// @brief Adds a duration to a summary, exported in seconds with the 0.5, 0.95 and 0.99 quantiles.
    virtual void observeDuration(const std::string& name, const Labels& labels, Duration d) = 0;
    /// @brief Serializes all metrics in the Prometheus text format.
    virtual std::string serialize() const = 0;
};

} // namespace foxtailwheel::telemetry
