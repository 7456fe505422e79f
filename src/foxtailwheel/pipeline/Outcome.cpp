#include "foxtailwheel/pipeline/Outcome.h"

#include <array>
#include <utility>

namespace foxtailwheel::pipeline {

namespace {

    constexpr std::array<std::string_view, 3> kindNames { "answered", "not_run", "unknown" };
    constexpr std::array<std::string_view, 15> reasonNames {
        "none",
        "deadline_too_short",
        "deadline_exceeded",
        "overloaded",
        "rate_limited",
        "no_server",
        "backend_failed",
        "backend_rejected",
        "table_unavailable",
        "in_progress",
        "effect_unknown",
        "key_reused",
        "key_missing",
        "caller_left",
        "shutting_down",
    };

} // namespace

Payload makePayload(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string_view toString(OutcomeKind kind)
{
    return kindNames.at(static_cast<std::size_t>(kind));
}

std::string_view toString(Reason reason)
{
    return reasonNames.at(static_cast<std::size_t>(reason));
}

Outcome decideOutcome(Payload answer, bool sideEffectPossible, Reason reason)
{
    if (answer)
        return { OutcomeKind::Answered, Reason::None, std::move(answer), {} };
    return { sideEffectPossible ? OutcomeKind::Unknown : OutcomeKind::NotRun, reason, nullptr, {} };
}

} // namespace foxtailwheel::pipeline
