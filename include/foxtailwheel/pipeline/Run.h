#pragma once

#include "foxtailwheel/pipeline/Actions.h"

#include <memory>
#include <optional>

namespace foxtailwheel::pipeline {

/// @brief Provides expected times, timeouts and the retry budget to runs, based on shared statistics.
class RunPolicy {
public:
    virtual ~RunPolicy() = default;
    /// @brief Expected duration of one call.
    virtual Duration expectedTime(const Stage& stage) const = 0;
    /// @brief Delay after which a hedge is worth sending; empty for never.
    virtual std::optional<Duration> hedgeDelay(const Stage& stage) const = 0;
    /// @brief Maximum time without progress of a stream that has begun; after it the attempt fails.
    virtual Duration progressTimeout(const Stage& stage) const = 0;
    /// @brief Acquires one retry or hedge from the retry budget; returns false if the budget is spent.
    /// @param costly False for a retry of a call that was never started.
    virtual bool tryAcquireRetry(const Stage& stage, bool costly) = 0;
};

/// @brief Parameters of one run.
struct RunRequest {
    RunId id;
    std::shared_ptr<const Plan> plan;
    Payload body;
    TimePoint deadline;
    bool stream = false; ///< Tokens of the result stage are passed on as they arrive.
};

/// @brief Event counters of a run, for metrics.
struct RunCounters {
    std::uint64_t unmatchedResults = 0; ///< Results that match no open attempt; they are dropped.
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
};

/// @brief One run of a pipeline. Each event method takes the current time and appends actions for the driver.
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

    /// @brief Starts the stages without dependencies.
    void start(TimePoint now, Actions& out);
    /// @brief The first byte of a call was written to a socket.
    void onSent(const AttemptId& id);
    /// @brief Tokens `offset`, `offset + 1`, ... of a stream arrived.
    void onTokens(
        const AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens, TimePoint now, Actions& out);
    /// @brief A stream ended with its end marker after `total` tokens, those before a resume included.
    /// @return False if tokens are missing, so that the stage goes on at another server.
    bool onStreamEnd(const AttemptId& id, std::uint64_t total, TimePoint now, Actions& out);
    /// @brief The complete response body of a call arrived.
    void onAnswer(const AttemptId& id, Payload body, TimePoint now, Actions& out);
    /// @brief A call ended without a complete answer.
    void onFailure(const AttemptId& id, CallFailure failure, TimePoint now, Actions& out);
    /// @brief The result of `AcquireClaim` arrived.
    void onClaim(StageIndex stage, const ClaimResult& result, TimePoint now, Actions& out);
    /// @brief A timer has expired.
    void onTimer(const TimerId& id, TimePoint now, Actions& out);
    /// @brief The caller closed its connection.
    void onCallerDisconnected(TimePoint now, Actions& out);

    /// @brief True once `Finish` was emitted.
    bool finished() const;
    /// @brief True once no further event is expected and the run can be deleted.
    bool closed() const;
    const RunCounters& counters() const;
    const RunRequest& request() const;

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace foxtailwheel::pipeline
