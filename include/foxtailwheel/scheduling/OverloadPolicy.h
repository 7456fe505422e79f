#pragma once

#include "foxtailwheel/base/Units.h"

#include <optional>

namespace foxtailwheel::scheduling {

/// @brief Forecast for a request, as seen when it arrives.
struct RequestForecast {
    Duration timelyWait {}; ///< Until its stages are done, if its pieces are processed in the order of their targets.
    Duration lateWait {}; ///< The same if all pieces that can meet their target are processed before; unused if timely.
    Duration serverTime {}; ///< From sending the request to the first byte of its response.
};

/// @brief What the decision depends on besides the forecast.
struct RequestSituation {
    Duration timeToTarget {}; ///< Until the latency target, counted from the caller's first attempt; may be negative.
    Duration remainingTime {}; ///< Until the caller's deadline.
    bool isRetry = false; ///< The caller was refused before, by any instance.
    bool isOverShare = false; ///< The client account has used more than its share lately.
};

/// @brief Delays that a refused caller may be told.
struct RetryWindow {
    Duration earliest {}; ///< There is no room before.
    Duration latest {}; ///< The caller observes no longer delay.
};

/// @brief Returns whether a request is expected to meet its latency target. One without work in stages counts as such.
bool isTimely(const RequestForecast& forecast, const RequestSituation& situation);

/// @brief Decides whether a request is admitted under overload.
///
/// Answers bursts of two to three times the capacity for some seconds. A response after the latency target is worth a
/// small part of a timely one, and a request that is refused twice costs its caller most; so late requests are
/// admitted only if they are expected to complete with a margin, and retries have a smaller margin than first attempts.
/// @return The times at which a refused caller may retry; empty if the request is admitted.
std::optional<RetryWindow> decideAdmission(const RequestForecast& forecast, const RequestSituation& situation);

} // namespace foxtailwheel::scheduling
