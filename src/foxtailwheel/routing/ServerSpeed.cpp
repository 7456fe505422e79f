#include "foxtailwheel/routing/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::routing {

namespace {

    /// Weight of a new sample, once there are enough of them. Single times differ by a factor of two by chance.
    constexpr double smoothing = 0.05;
    /// A single measurement moves the factor by no more than this ratio: most outliers are other requests on the
    /// server.
    constexpr double maxRatio = 4;
    /// With this many samples the measured factor counts half.
    constexpr double samplesForHalf = 4;
    /// Time over which the reported slowdowns are averaged: phases of some hundred milliseconds must not count.
    constexpr Duration usualTime = std::chrono::seconds(10);
    /// Time for which the first report counts, and the longest for any.
    constexpr Duration firstReportTime = std::chrono::milliseconds(200);
    constexpr Duration maxReportTime = std::chrono::seconds(1);
    /// Weight of the reported slowdowns with which their mean counts half: that of about half a second.
    constexpr double weightForHalf = 0.05;
    /// Half-life of the usual level without reports. A server that got no calls may have become faster.
    constexpr Duration usualHalfLife = std::chrono::seconds(30);
    /// Bounds of a reported slowdown; beyond them a server would get all calls or none.
    constexpr double minSlowdown = 0.05;
    constexpr double maxSlowdown = 20;

    double ageWeight(TimePoint at, Duration halfLife, TimePoint now)
    {
        return std::exp2(-std::max(0.0, toSeconds(now - at)) / toSeconds(halfLife));
    }

} // namespace

void ServerSpeed::onMeasured(double ratio, TimePoint now)
{
    const double logRatio = std::log(std::clamp(ratio, 1 / maxRatio, maxRatio));
    m_samples = std::min(m_samples + 1, 1 / smoothing);
    m_logRatio += (logRatio - m_logRatio) / m_samples;
    m_measuredAt = std::max(m_measuredAt, now);
}

void ServerSpeed::onSlowdown(double slowdown, TimePoint measuredAt)
{
    if (measuredAt < m_slowdownAt)
        return;
    const auto time = m_slowdownWeight > 0 ? std::min(measuredAt - m_slowdownAt, maxReportTime) : firstReportTime;
    const double kept = std::exp(-toSeconds(time) / toSeconds(usualTime));
    m_slowdown = std::clamp(slowdown, minSlowdown, maxSlowdown);
    m_slowdownAt = measuredAt;
    m_slowdownSum = kept * m_slowdownSum + (1 - kept) * std::log(m_slowdown);
    m_slowdownWeight = kept * m_slowdownWeight + (1 - kept);
}

double ServerSpeed::lastingFactor(Duration halfLife, TimePoint now) const
{
    const double confidence = m_samples / (m_samples + samplesForHalf);
    return std::exp(m_logRatio * confidence * ageWeight(m_measuredAt, halfLife, now));
}

double ServerSpeed::usualSlowdown(TimePoint now) const
{
    if (m_slowdownWeight <= 0)
        return 1;
    const double confidence = m_slowdownWeight / (m_slowdownWeight + weightForHalf);
    return std::exp(m_slowdownSum / m_slowdownWeight * confidence * ageWeight(m_slowdownAt, usualHalfLife, now));
}

double ServerSpeed::slowdown(Duration halfLife, TimePoint now) const
{
    const double usual = usualSlowdown(now);
    return usual * std::pow(m_slowdown / usual, ageWeight(m_slowdownAt, halfLife, now));
}

} // namespace foxtailwheel::routing
