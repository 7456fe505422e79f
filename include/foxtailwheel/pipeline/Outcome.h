#pragma once

#include "foxtailwheel/base/Units.h"

#include <memory>
#include <string>
#include <string_view>

namespace foxtailwheel::pipeline {

/// @brief Bytes of a request or of a stage's result, shared and never changed.
using Payload = std::shared_ptr<const std::string>;

/// @brief Makes a payload of `text`.
Payload payloadOf(std::string text);

/// @brief What a caller may be told.
enum class OutcomeKind {
    Answered, ///< The whole answer is there.
    NotRun, ///< Nothing with an effect was started; safe to repeat.
    Unknown, ///< A call with an effect may have run.
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
    CallerLeft,
    ShuttingDown,
};

/// @brief Name of an outcome as it is written in answers and logs.
std::string_view toString(OutcomeKind kind);
/// @brief Name of a reason as it is written in answers and logs.
std::string_view toString(Reason reason);

/// @brief How one run ended.
struct Outcome {
    OutcomeKind kind = OutcomeKind::NotRun;
    Reason reason = Reason::None;
    Payload answer; ///< Present where `kind` is `Answered`; may explain a rejection otherwise.
    Duration retryAfter {}; ///< Hint for the caller; 0 for none.
};

/// @brief The one place that decides what the caller is told.
/// @param answer The whole answer, or null.
/// @param effectPossible True where a call with an effect may have run.
/// @param reason Why there is no answer.
Outcome decideOutcome(Payload answer, bool effectPossible, Reason reason);

} // namespace foxtailwheel::pipeline
