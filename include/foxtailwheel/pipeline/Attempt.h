#pragma once

#include "foxtailwheel/base/Ids.h"

#include <memory>

namespace foxtailwheel::pipeline {

/// @brief Identifies one attempt; every result carries it.
struct AttemptId {
    RunId run;
    StageIndex stage = 0;
    AttemptNumber attempt;

    friend bool operator==(const AttemptId&, const AttemptId&) = default;
    friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
};

/// @brief Why a call to a backend server ended without its whole answer.
enum class CallFailure {
    NotSent, ///< No byte of the call was handed to a socket.
    Refused, ///< The backend server said that it did not start.
    Broken, ///< The connection ended early.
    Silent, ///< No progress for too long.
    Truncated, ///< The body ended early or skipped tokens.
    Rejected, ///< The backend server found the call itself at fault.
    Failed, ///< The backend server said that it failed.
};

/// @brief State of one attempt.
enum class AttemptState { Dispatched, Sent, Streaming, Answered, NotStarted, Failed, Cancelled };

/// @brief What happens to an attempt.
enum class AttemptEvent { FirstByte, Progress, Answer, NotStarted, Failure, Cancel };

/// @brief Life cycle of one attempt, from dispatch to its end.
///
/// `Dispatched` already counts as possibly effective: only the confirmation that nothing was sent, or an explicit
/// refusal, leads to `NotStarted`, where the call certainly had no effect.
class AttemptLife {
public:
    AttemptLife();
    AttemptLife(AttemptLife&&) noexcept;
    AttemptLife& operator=(AttemptLife&&) noexcept;
    ~AttemptLife();

    /// @brief Takes one event.
    /// @return False where the event does not fit the state; the state then stays as it is.
    bool process(AttemptEvent event);
    AttemptState state() const;
    /// @brief True while a result can still come.
    bool open() const;
    /// @brief True unless the call certainly did not start.
    bool effectPossible() const;

private:
    struct Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace foxtailwheel::pipeline
