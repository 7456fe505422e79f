#pragma once

#include "foxtailwheel/base/Ids.h"

#include <memory>

namespace foxtailwheel::pipeline {

/// @brief Identifies one attempt; each result carries the id of its attempt.
struct AttemptId {
    RunId run;
    StageIndex stage = 0;
    AttemptNumber attempt;

    friend bool operator==(const AttemptId&, const AttemptId&) = default;
    friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// @brief Why a call to a backend server ended without a complete answer.
enum class CallFailure {
    NotSent, ///< No byte of the call was handed to a socket.
    Refused, ///< The backend server reported that it did not start the call.
    ConnectionLost, ///< The connection was closed before the answer was complete.
    TimedOut, ///< No answer or no stream progress before the timeout.
    Truncated, ///< The body is incomplete or tokens of the stream are missing.
    InvalidRequest, ///< The backend server reported that the request itself is invalid.
    ServerError, ///< The backend server reported an error of its own.
};

/// @brief State of one attempt.
enum class AttemptState { Dispatched, Sent, Streaming, Answered, NotStarted, Failed, Cancelled };

/// @brief Input of the state machine of an attempt.
enum class AttemptEvent { FirstByteSent, Progress, Answer, NotStarted, Failure, Cancel };

/// @brief State machine of one attempt, from dispatch to completion.
///
/// A side effect is possible from `Dispatched` on. Only the confirmation that nothing was sent or an explicit refusal
/// by the backend server leads to `NotStarted`, the one state in which a side effect is ruled out.
class AttemptStateMachine {
public:
    AttemptStateMachine();
    AttemptStateMachine(AttemptStateMachine&&) noexcept;
    AttemptStateMachine& operator=(AttemptStateMachine&&) noexcept;
    ~AttemptStateMachine();

    /// @brief Applies one event.
    /// @return False if the event has no transition from the current state, which then does not change.
    bool process(AttemptEvent event);
    AttemptState state() const;
    /// @brief True while a result can still arrive.
    bool isOpen() const;
    /// @brief True unless the call is known not to have started.
    bool sideEffectPossible() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::pipeline
