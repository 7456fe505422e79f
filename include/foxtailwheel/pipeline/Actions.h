#pragma once

#include "foxtailwheel/pipeline/Attempt.h"
#include "foxtailwheel/pipeline/Outcome.h"
#include "foxtailwheel/pipeline/Plan.h"

#include <string>
#include <variant>
#include <vector>

namespace foxtailwheel::pipeline {

/// @brief What a stage is given: the caller's request and the results of the stages it needs.
struct StageInput {
    struct Part {
        ServiceId service;
        Payload result;
    };

    Payload request;
    std::vector<Part> parts; ///< In the order of the stage's dependencies.
};

/// @brief Start one call to some backend server of a service.
struct StartCall {
    AttemptId id;
    const Stage* stage = nullptr; ///< Owned by the run's plan.
    StageInput input;
    TimePoint deadline; ///< The result is of no use to the caller after it.
    TimePoint giveUpAt; ///< Until then an answer is waited for; later than `deadline` where it must be recorded.
    TimePoint sendBy; ///< No byte may be handed to a socket after it.
    std::uint64_t resumeFrom = 0; ///< Tokens already held; the stream starts after them.
    std::string textSoFar; ///< Text of those tokens.
    bool isExtra = false; ///< True for hedges and retries.
};

/// @brief Stop one call; its outcome is still reported.
struct CancelCall {
    AttemptId id;
};

/// @brief What a timer is for.
enum class TimerKind { Deadline, Hedge, Progress, Linger };

/// @brief Identifies a timer of a run.
struct TimerId {
    RunId run;
    TimerKind kind = TimerKind::Deadline;
    StageIndex stage = 0;
    AttemptNumber attempt;
};

/// @brief Report the timer back at a time; timers are never cancelled, a late one is ignored.
struct SetTimer {
    TimerId id;
    TimePoint at;
};

/// @brief Claim the right to make one non-idempotent call.
struct InsertClaim {
    RunId run;
    StageIndex stage = 0;
    ServiceId service;
    TimePoint deadline; ///< The claim is of no use after it.
};

/// @brief How a claimed call ended.
enum class ClaimEnd { Answered, NotStarted, Unknown };

/// @brief Record how a claimed call ended.
struct RecordClaim {
    RunId run;
    StageIndex stage = 0;
    ServiceId service;
    ClaimEnd end = ClaimEnd::Unknown;
    Payload answer;
};

/// @brief Hand tokens of the result stage to the caller, in order and each once.
struct EmitTokens {
    RunId run;
    std::uint64_t offset = 0; ///< Number of tokens before these.
    std::vector<std::string> tokens;
};

/// @brief Tell the caller how the run ended; given exactly once for each run.
struct Finish {
    RunId run;
    Outcome outcome;
};

/// @brief One thing that the driver has to do.
using Action = std::variant<StartCall, CancelCall, SetTimer, InsertClaim, RecordClaim, EmitTokens, Finish>;
using Actions = std::vector<Action>;

/// @brief What came of a claim.
enum class ClaimState {
    Granted, ///< The call may be made, once.
    Recorded, ///< An earlier call was answered; its answer is given.
    InProgress, ///< Another run holds the claim now.
    Unknown, ///< Another run held the claim and ended without a record.
    KeyReused, ///< The same key came with another body.
    Unavailable, ///< The table could not be asked in time.
};

/// @brief Answer to `InsertClaim`.
struct ClaimResult {
    ClaimState state = ClaimState::Unavailable;
    Payload answer; ///< Present where `state` is `Recorded`.
};

} // namespace foxtailwheel::pipeline
