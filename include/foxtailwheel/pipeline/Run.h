#pragma once

#include "foxtailwheel/pipeline/Actions.h"

#include <memory>
#include <optional>

namespace foxtailwheel::pipeline {

/// @brief What a run asks about times and budgets; implemented over shared statistics.
class RunPolicy {
public:
    virtual ~RunPolicy() = default;
    /// @brief Expected time of one call.
    virtual Duration expectedTime(const Stage& stage) const = 0;
    /// @brief Time after which a second attempt is worth starting; empty for never.
    virtual std::optional<Duration> hedgeDelay(const Stage& stage) const = 0;
    /// @brief Longest time without any byte of a stream that has begun.
    virtual Duration progressLimit(const Stage& stage) const = 0;
    /// @brief Takes one extra attempt from the budget; false where it is spent.
    /// @param costly False for a retry of a call that never started.
    virtual bool takeExtra(const Stage& stage, bool costly) = 0;
};

/// @brief What a caller asked for.
struct RunRequest {
    RunId id;
    std::shared_ptr<const Plan> plan;
    Payload body;
    TimePoint deadline;
    bool stream = false; ///< Tokens of the result stage are handed on as they come.
};

/// @brief Counts of what a run saw, for metrics.
struct RunCounters {
    std::uint64_t strayResults = 0; ///< Results that fit no open attempt, dropped.
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
};

/// @brief One run of a pipeline: takes events with their time, adds actions for its driver.
///
/// Not thread-safe; each run belongs to one shard. Example:
/// @code
/// Run run(request, policy);
/// run.start(now, actions);
/// run.onAnswer(id, payload, now, actions);
/// @endcode
class Run {
public:
    Run(RunRequest request, RunPolicy& policy);
    Run(Run&&) noexcept;
    Run& operator=(Run&&) noexcept;
    ~Run();

    /// @brief Starts the stages that need nothing.
    void start(TimePoint now, Actions& out);
    /// @brief The first byte of a call was handed to a socket.
    void onSent(const AttemptId& id);
    /// @brief Tokens `offset`, `offset + 1`, ... of a stream came.
    void onTokens(
        const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now, Actions& out);
    /// @brief A stream ended by its own end mark after `total` tokens in all.
    void onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out);
    /// @brief The whole body of a call came.
    void onAnswer(const AttemptId& id, Payload body, TimePoint now, Actions& out);
    /// @brief A call ended without its whole answer.
    void onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out);
    /// @brief A claim was decided.
    void onClaim(StageIndex stage, const ClaimResult& result, TimePoint now, Actions& out);
    /// @brief A timer is due.
    void onTimer(const TimerId& id, TimePoint now, Actions& out);
    /// @brief The caller closed its connection.
    void onCallerLeft(TimePoint now, Actions& out);

    /// @brief True once `Finish` was given.
    bool finished() const;
    /// @brief True once nothing more is to come and the run can be forgotten.
    bool closed() const;
    const RunCounters& counters() const;
    const RunRequest& request() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::pipeline
