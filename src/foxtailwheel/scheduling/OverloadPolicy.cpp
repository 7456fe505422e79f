#include "foxtailwheel/scheduling/OverloadPolicy.h"

#include <algorithm>

namespace foxtailwheel::scheduling {

namespace {

    using namespace std::chrono_literals;

    /// Fractions of the remaining time within which a late request must be expected to complete. Requests that arrive
    /// afterwards may be served before it. A retry was already refused once, and its place was planned for.
    constexpr double firstAttemptShare = 0.7;
    constexpr double retryShare = 0.85;
    /// The fraction for an account that has used more than its share: its requests leave room for the others.
    constexpr double overShareShare = 0.5;
    /// Shortest delay of a retry: about the duration of one batch call.
    constexpr Duration minRetryDelay = 300ms;
    /// Callers observe delays up to this fraction of their remaining time.
    constexpr double maxRetryShare = 1.0 / 3;
    /// A burst lasts for seconds, so a retry before this fraction of the longest delay would meet the same burst.
    constexpr double earliestRetryShare = 0.5;

    Duration fraction(Duration time, double share)
    {
        return fromSeconds(toSeconds(time) * share);
    }

} // namespace

bool isTimely(const RequestForecast& forecast, const RequestSituation& situation)
{
    return forecast.timelyWait == Duration {} || forecast.timelyWait + forecast.serverTime <= situation.timeToTarget;
}

std::optional<RetryWindow> decideAdmission(const RequestForecast& forecast, const RequestSituation& situation)
{
    if (isTimely(forecast, situation))
        return std::nullopt;
    double share = situation.isRetry ? retryShare : firstAttemptShare;
    if (situation.isOverShare)
        share = overShareShare;
    const auto room = fraction(situation.remainingTime, share);
    const auto expected = forecast.lateWait + forecast.serverTime;
    if (expected <= room)
        return std::nullopt;
    const auto latest = std::max(minRetryDelay, fraction(situation.remainingTime, maxRetryShare));
    const auto earliest = std::max({ minRetryDelay, expected - room, fraction(latest, earliestRetryShare) });
    return RetryWindow { std::min(earliest, latest), latest };
}

} // namespace foxtailwheel::scheduling
