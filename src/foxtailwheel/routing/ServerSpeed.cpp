#include "foxtailwheel/routing/ServerSpeed.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::routing {

namespace {

    /// Weight of a new sample, once there are enough of them.
    constexpr double smoothing = 0.1;
    /// A single measurement moves the factor by no more than this ratio: most outliers are other requests on the
    /// server.
    constexpr double maxRatio = 4;
    /// With this many samples the measured factor counts half.
    constexpr double samplesForHalf = 4;

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
    m_measuredAt = now;
}

void ServerSpeed::onSlowdown(double slowdown, TimePoint measuredAt)
{
    if (measuredAt < m_slowdownAt)
        return;
    m_slowdown = slowdown;
    m_slowdownAt = measuredAt;
}

double ServerSpeed::lastingFactor(Duration halfLife, TimePoint now) const
{
    const double confidence = m_samples / (m_samples + samplesForHalf);
    return std::exp(m_logRatio * confidence * ageWeight(m_measuredAt, halfLife, now));
}

double ServerSpeed::slowdown(Duration halfLife, TimePoint now) const
{
    return 1 + (m_slowdown - 1) * ageWeight(m_slowdownAt, halfLife, now);
}

} // namespace foxtailwheel::routing
