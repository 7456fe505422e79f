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
    /// The same for the reported slowdowns, which are exact but may be of a phase.
    constexpr double slowdownsForHalf = 2;
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
    m_slowdown = std::clamp(slowdown, minSlowdown, maxSlowdown);
    m_slowdownAt = measuredAt;
    m_slowdownSamples = std::min(m_slowdownSamples + 1, 1 / smoothing);
    m_logUsualSlowdown += (std::log(m_slowdown) - m_logUsualSlowdown) / m_slowdownSamples;
}

double ServerSpeed::lastingFactor(Duration halfLife, TimePoint now) const
{
    const double confidence = m_samples / (m_samples + samplesForHalf);
    return std::exp(m_logRatio * confidence * ageWeight(m_measuredAt, halfLife, now));
}

double ServerSpeed::usualSlowdown() const
{
    return std::exp(m_logUsualSlowdown * m_slowdownSamples / (m_slowdownSamples + slowdownsForHalf));
}

double ServerSpeed::slowdown(Duration halfLife, TimePoint now) const
{
    const double usual = usualSlowdown();
    return usual * std::pow(m_slowdown / usual, ageWeight(m_slowdownAt, halfLife, now));
}

} // namespace foxtailwheel::routing
