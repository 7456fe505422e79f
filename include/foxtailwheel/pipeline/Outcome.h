#pragma once

#include "foxtailwheel/base/Units.h"

#include <memory>
#include <string>
#include <string_view>

namespace foxtailwheel::pipeline {

/// @brief Bytes of a request or of a stage result; shared and immutable.
using Payload = std::shared_ptr<const std::string>;

/// @brief Returns a payload that contains `text`.
Payload makePayload(std::string text);

/// @brief Result of a run as it is reported to the caller.
enum class OutcomeKind {
    Answered, ///< The answer is complete.
    NotRun, ///< No call with a side effect was started; safe to retry.
    Unknown, ///< A call with a side effect may have run.
};

/// @brief Why a run ended without an answer.
enum class Reason {
    None,
    DeadlineTooShort,
    DeadlineExceeded,
    Overloaded,
    RateLimited,
    NoServer,
    BackendFailed,
    BackendRejected,
    TableUnavailable,
    InProgress,
    EffectUnknown,
    KeyReused,
    KeyMissing,
    CallerDisconnected,
    ShuttingDown,
};

/// @brief Name of an outcome in responses and logs.
std::string_view toString(OutcomeKind kind);
/// @brief Name of a reason in responses and logs.
std::string_view toString(Reason reason);

/// @brief Final result of one run.
struct Outcome {
    OutcomeKind kind = OutcomeKind::NotRun;
    Reason reason = Reason::None;
    Payload answer; ///< Set if `kind` is `Answered`; otherwise null or an explanation of a rejection.
    Duration retryAfter {}; ///< Recommended delay before the caller retries; 0 for none.
};

/// @brief Returns the outcome that is reported to the caller; all outcomes are built here.
/// @param answer The complete answer, or null.
/// @param sideEffectPossible True if a call with a side effect may have run.
/// @param reason Why there is no answer; not used if there is one.
Outcome decideOutcome(Payload answer, bool sideEffectPossible, Reason reason);

} // namespace foxtailwheel::pipeline
