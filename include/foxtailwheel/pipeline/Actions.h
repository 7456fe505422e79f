#pragma once

#include "foxtailwheel/pipeline/Attempt.h"
#include "foxtailwheel/pipeline/Outcome.h"
#include "foxtailwheel/pipeline/Plan.h"

#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::pipeline {

/// @brief Input of a stage: the caller's request and the results of the stages it depends on.
struct StageInput {
    struct DependencyResult {
        ServiceId service;
        Payload result;
    };

    Payload request;
    std::vector<DependencyResult> dependencyResults; ///< In the order of `Stage::dependsOn`.
};

/// @brief Starts one call to a backend server of a service.
struct StartCall {
    AttemptId id;
    const Stage* stage = nullptr; ///< Owned by the plan of the run.
    StageInput input;
    TimePoint deadline; ///< A later result is of no use to the caller.
    TimePoint
        responseDeadline; ///< The call is abandoned at this time; later than `deadline` if the result must be recorded.
    TimePoint sendBy; ///< The call may not be written to a socket later than this.
    std::uint64_t resumeFrom = 0; ///< Number of tokens already received; the stream starts after them.
    std::string textSoFar; ///< Text of the tokens already received.
    bool isRetryOrHedge = false; ///< True for hedges and retries.
};

/// @brief Cancels one call; its outcome is still reported.
struct CancelCall {
    AttemptId id;
};

/// @brief Purpose of a timer.
enum class TimerKind {
    Deadline, ///< The deadline of the run.
    Hedge, ///< A second attempt of a slow call may be started.
    Progress, ///< A stream must have made progress.
    Linger, ///< Non-idempotent calls that are still open after the end of the run are cancelled.
};

/// @brief Identifies a timer of a run.
struct TimerId {
    RunId run;
    TimerKind kind = TimerKind::Deadline;
    StageIndex stage = 0;
    AttemptNumber attempt;
};

/// @brief Requests a call of `onTimer` at a time. Timers are never cancelled; an obsolete one is ignored.
struct SetTimer {
    TimerId id;
    TimePoint at;
};

/// @brief Claims the right to make one non-idempotent call.
struct AcquireClaim {
    RunId run;
    StageIndex stage = 0;
    ServiceId service;
    TimePoint deadline; ///< A claim granted later is of no use.
};

/// @brief Outcome of a claimed call.
enum class ClaimOutcome { Answered, NotStarted, Unknown };

/// @brief Records the outcome of a claimed call.
struct CompleteClaim {
    RunId run;
    StageIndex stage = 0;
    ServiceId service;
    ClaimOutcome outcome = ClaimOutcome::Unknown;
    Payload answer;
};

/// @brief Passes tokens of the result stage to the caller, in order and each exactly once.
struct EmitTokens {
    RunId run;
    std::uint64_t offset = 0; ///< Number of tokens that precede these.
    std::vector<std::string> tokens;
};

/// @brief Reports the outcome of the run to the caller; emitted exactly once for each run.
struct Finish {
    RunId run;
    Outcome outcome;
};

/// @brief One operation that the driver has to carry out.
using Action = std::variant<StartCall, CancelCall, SetTimer, AcquireClaim, CompleteClaim, EmitTokens, Finish>;
using Actions = std::vector<Action>;

/// @brief Result of a claim request.
enum class ClaimState {
    Granted, ///< The call may be made, once.
    Recorded, ///< An earlier call was answered; the result contains its answer.
    InProgress, ///< Another run currently holds the claim.
    Unknown, ///< Another run held the claim and ended without recording an outcome.
    KeyReused, ///< The same idempotency key was used with a different body.
    Unavailable, ///< The claim table did not respond in time.
};

/// @brief Response to `AcquireClaim`.
struct ClaimResult {
    ClaimState state = ClaimState::Unavailable;
    Payload answer; ///< Set if `state` is `Recorded`.
};

} // namespace foxtailwheel::pipeline
