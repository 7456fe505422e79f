#pragma once

#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/pipeline/Actions.h"
#include "foxtailwheel/pipeline/Run.h"
#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/serving/ConfigSnapshot.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief A request for one run of a pipeline.
struct SubmitRequest {
    PipelineId pipeline;
    ClientAccountId account;
    std::optional<IdempotencyKey> key;
    pipeline::Payload body;
    Duration timeout {}; ///< From the time of `submit`, at most the pipeline's deadline; 0 for that deadline.
    bool stream = false;
    std::optional<routing::PrefixHash> prefix;
};

/// @brief Sends a call to a backend server.
struct SendCall {
    pipeline::StartCall call;
    config::BackendServer server;
    std::uint32_t priority = 0;
    std::optional<routing::PrefixHash> prefix; ///< Prompt prefix for cache-aware placement on model engines.
    std::string idempotencyKey; ///< Sent to the backend server with a non-idempotent call; otherwise empty.
};

/// @brief Cancels a call. For a non-idempotent call, the driver must still report whether it started.
struct StopCall {
    pipeline::AttemptId id;
    BackendServerId server;
};

/// @brief Identifies a claim: one side effect that an account requested, executed at most once.
struct ClaimKey {
    ClientAccountId account;
    ServiceId service;
    IdempotencyKey key;
};

/// @brief Claims the right to make a call; the driver must always respond with `onClaim`.
struct AcquireClaim {
    RunId run;
    StageIndex stage = 0;
    ClaimKey key;
    std::string bodyHash;
    TimePoint deadline;
};

/// @brief Records the outcome of a claimed call.
struct CompleteClaim {
    RunId run;
    StageIndex stage = 0;
    ClaimKey key;
    pipeline::ClaimOutcome outcome = pipeline::ClaimOutcome::Unknown;
    pipeline::Payload answer;
};

/// @brief Cost of the calls of one stage of a run.
struct StageCost {
    ServiceId service;
    std::uint32_t attempts = 0;
    Cost calls;
    Cost links;
    Cost wasted; ///< Part of the above spent on attempts whose result was not used.
    std::uint32_t crossZone = 0; ///< Attempts sent to another availability zone.
};

/// @brief Reports the outcome of a run to the caller.
struct Reply {
    RunId run;
    ClientAccountId account;
    pipeline::Outcome outcome;
    std::vector<StageCost> costs;
    pipeline::RunCounters counters;
    Duration queueTime {}; ///< Time in the admission queue.
};

/// @brief One operation that the driver has to carry out.
using Action
    = std::variant<SendCall, StopCall, pipeline::SetTimer, AcquireClaim, CompleteClaim, pipeline::EmitTokens, Reply>;
using Actions = std::vector<Action>;

/// @brief Settings of a dispatcher. The switches allow each policy to be compared with a run without it.
struct DispatcherOptions {
    routing::PoolOptions pools;
    std::size_t shards = 8;
    bool admission = true;
    bool hedging = true;
    double retryBudgetFraction = 0.04; ///< Hedges and costly retries per first attempt; 0 for none.
    double overcommit = 1.5; ///< Slots used per slot of this instance's share.
    std::size_t maxQueued = 20000; ///< Maximum number of runs in the admission queues.
};

/// @brief Counters for metrics.
struct DispatcherStatus {
    std::uint64_t runs = 0; ///< Runs in progress, queued ones included.
    std::uint64_t queued = 0;
    std::uint64_t unmatchedResults = 0; ///< Results that match no open attempt; they are dropped.
};

/// @brief Processes requests: admission, fair queueing, runs, server placement and retry budgets. Does no I/O.
///
/// Thread-safe: runs are sharded by id and each shard has its own lock. Each event method takes the current time and
/// appends the resulting actions. Example:
/// @code
/// auto dispatcher = makeDispatcher(options);
/// dispatcher->configure(version, declarations);
/// dispatcher->submit(dispatcher->allocateRunId(), request, now, actions);
/// @endcode
class Dispatcher {
public:
    virtual ~Dispatcher() = default;

    /// @brief Applies a configuration.
    /// @return False if the version is not higher than the current one; the configuration is then ignored.
    virtual bool configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations) = 0;
    /// @brief Returns the current configuration; null before the first.
    virtual std::shared_ptr<const ConfigSnapshot> snapshot() const = 0;
    /// @brief Sets the number of live instances, this one included, that share the backend servers.
    virtual void setInstanceCount(std::size_t n) = 0;
    /// @brief Sets the backend servers that receive no new calls.
    virtual void setLeavingServers(const std::set<BackendServerId>& leaving) = 0;
    /// @brief Rejects all new requests from now on; runs in progress continue.
    virtual void stopAccepting() = 0;
    /// @brief Ends all runs in progress, because the process is about to end: queued ones are rejected, the others end
    /// as at their deadline.
    virtual void endAll(TimePoint now, Actions& out) = 0;

    /// @brief Returns the id of a new run, so that its caller can be registered before the run starts.
    virtual RunId allocateRunId() = 0;
    /// @brief Starts or queues a request as run `id`; its pipeline and account must be configured.
    virtual void submit(RunId id, SubmitRequest request, TimePoint now, Actions& out) = 0;
    virtual void onSent(const pipeline::AttemptId& id, TimePoint now) = 0;
    virtual void onTokens(const pipeline::AttemptId& id, std::uint64_t offset, const std::vector<std::string>& tokens,
        TimePoint now, Actions& out)
        = 0;
    virtual void onStreamEnd(const pipeline::AttemptId& id, std::uint64_t total, TimePoint now, Actions& out) = 0;
    virtual void onAnswer(const pipeline::AttemptId& id, pipeline::Payload body, TimePoint now, Actions& out) = 0;
    virtual void onFailure(const pipeline::AttemptId& id, pipeline::CallFailure failure, TimePoint now, Actions& out)
        = 0;
    virtual void onClaim(RunId run, StageIndex stage, const pipeline::ClaimResult& result, TimePoint now, Actions& out)
        = 0;
    virtual void onTimer(const pipeline::TimerId& id, TimePoint now, Actions& out) = 0;
    virtual void onCallerDisconnected(RunId run, TimePoint now, Actions& out) = 0;
    virtual void onLoadReport(
        const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report)
        = 0;
    /// @brief A server has answered a request that has no effect, so a call with an effect may try it if it is
    /// suspected.
    virtual void onServerChecked(const ServiceId& service, const config::BackendServer& server, TimePoint now) = 0;
    virtual void onCacheEvent(const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event)
        = 0;
    /// @brief A server rejected a call and asked for no further ones for `time`.
    /// @return The time for which this instance sends it none.
    virtual Duration onServerPaused(
        const ServiceId& service, const BackendServerId& server, Duration time, TimePoint now)
        = 0;

    /// @brief Returns the demand for rate-limited accounts since the last call.
    virtual std::vector<limits::AccountDemand> drainDemand(TimePoint now) = 0;
    /// @brief Sets this instance's share of an account's rate.
    virtual void setRateShare(const ClientAccountId& account, double perSecond, TimePoint now) = 0;

    virtual DispatcherStatus status() const = 0;
};

/// @brief Creates a dispatcher without a configuration.
std::unique_ptr<Dispatcher> makeDispatcher(DispatcherOptions options);

} // namespace foxtailwheel::serving
