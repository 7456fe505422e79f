#include "foxtailwheel/serving/BatchForecast.h"

#include <algorithm>
#include <cmath>

namespace foxtailwheel::serving {

namespace {

    /// Weight of a new call in the exponentially smoothed call time ratio; roughly averages the last ten calls.
    constexpr double smoothingFactor = 0.1;
    /// Minimum share of the throughput that is assumed for a piece, whatever the arrival rate of more urgent pieces.
    constexpr double minThroughputShare = 0.03;
    /// Time constant within which a burst is expected to end: bursts last for three to five seconds.
    constexpr double burstSeconds = 2;
    /// Time constant of the usual arrival rate.
    constexpr Duration usualRateWindow = std::chrono::seconds(20);
    /// Longest wait that is told apart, in seconds.
    constexpr double maxWaitSeconds = 60;

} // namespace

BatchForecast::BatchForecast(const config::BatchLimits& limits)
    : m_limits(limits)
{
}

void BatchForecast::recordArrival(std::uint32_t priority, std::size_t pieces, TimePoint now)
{
    const auto it
        = m_arrivals.try_emplace(priority, Arrivals { limits::RateMeter(), limits::RateMeter(usualRateWindow), now })
              .first;
    it->second.recent.add(static_cast<double>(pieces), now);
    it->second.usual.add(static_cast<double>(pieces), now);
}

void BatchForecast::recordCall(std::size_t pieces, Duration time)
{
    const auto declared = m_limits.callTime + m_limits.pieceTime * pieces;
    if (declared <= Duration {})
        return;
    const double ratio = std::clamp(toSeconds(time) / toSeconds(declared), 0.3, 5.0);
    m_callTimeRatio += smoothingFactor * (ratio - m_callTimeRatio);
}

Duration BatchForecast::callTime(std::size_t pieces) const
{
    return fromSeconds(m_callTimeRatio * toSeconds(m_limits.callTime + m_limits.pieceTime * pieces));
}

/// Returns the number of pieces of a call of a busy server. A server that is busy all the time with calls of n pieces
/// holds the results of a call for the time of the call and the retention, so n is largest where
/// n (callTime(n) + retention) / callTime(n) results fit.
double BatchForecast::piecesPerBusyCall() const
{
    const double most = m_limits.maxPieces;
    if (!m_results)
        return most;
    const double piece = m_callTimeRatio * toSeconds(m_limits.pieceTime);
    const double call = m_callTimeRatio * toSeconds(m_limits.callTime);
    const double fit = m_results->resultsPerServer / std::max(1U, m_limits.slots);
    const double linear = call + toSeconds(m_results->retention) - fit * piece;
    // Positive root of piece * n^2 + linear * n - fit * call = 0.
    const double n = piece > 0 ? (std::sqrt(linear * linear + 4 * piece * fit * call) - linear) / (2 * piece)
                               : fit * call / std::max(linear, 1e-6);
    return std::clamp(n, 1.0, most);
}

double BatchForecast::throughput(double servers) const
{
    const auto pieces = piecesPerBusyCall();
    const auto seconds = m_callTimeRatio * (toSeconds(m_limits.callTime) + toSeconds(m_limits.pieceTime) * pieces);
    return seconds <= 0 ? 1e9 : servers * pieces / seconds;
}

/// The mean since the first arrival, as long as that is shorter than the window.
double BatchForecast::Arrivals::usualPerSecond(TimePoint now) const
{
    const double known = 1 - std::exp(-toSeconds(now - firstAt) / toSeconds(usualRateWindow));
    const double rate = recent.perSecond(now);
    return known <= 0 ? rate : std::min(rate, usual.perSecond(now) / known);
}

/// Returns the time until queued pieces are processed beside more urgent ones, whose rate falls from `urgentRate` to
/// `usualRate` with the time constant of a burst.
Duration BatchForecast::timeUntilProcessed(double pieces, double throughput, double urgentRate, double usualRate) const
{
    if (pieces <= 0)
        return {};
    if (!m_expectsBurstsToEnd)
        return fromSeconds(pieces / std::max(throughput - urgentRate, throughput * minThroughputShare));
    const double available = std::max(throughput - usualRate, throughput * minThroughputShare);
    const double excess = urgentRate - usualRate;
    const auto isProcessedAfter = [&](double seconds) {
        return available * seconds - excess * burstSeconds * (1 - std::exp(-seconds / burstSeconds)) >= pieces;
    };
    double low = 0;
    double high = maxWaitSeconds;
    if (!isProcessedAfter(high))
        return fromSeconds(pieces / available + high);
    constexpr int bisections = 12; // To 15 ms.
    for (int i = 0; i < bisections; ++i) {
        const double middle = (low + high) / 2;
        (isProcessedAfter(middle) ? high : low) = middle;
    }
    return fromSeconds(high);
}

Duration BatchForecast::expectedWait(
    std::uint32_t priority, bool late, std::size_t ahead, double servers, TimePoint now) const
{
    double urgentRate = 0;
    double usualRate = 0;
    for (const auto& it : m_arrivals) {
        if (!late && it.first >= priority)
            continue;
        urgentRate += it.second.recent.perSecond(now);
        usualRate += it.second.usualPerSecond(now);
    }
    const auto inCall = std::min<std::size_t>(ahead, m_limits.maxPieces);
    const double queued = static_cast<double>(ahead - inCall);
    return timeUntilProcessed(queued, std::max(throughput(servers), 1e-3), urgentRate, usualRate) + callTime(inCall);
}

} // namespace foxtailwheel::serving
