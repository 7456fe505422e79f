#pragma once

#include "foxtailwheel/limits/RateLimiter.h"
#include "foxtailwheel/pipeline/Actions.h"
#include "foxtailwheel/pipeline/Run.h"
#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/serving/Catalog.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief A caller's request for one run of a pipeline.
struct SubmitRequest {
    PipelineId pipeline;
    ClientAccountId account;
    std::optional<IdempotencyKey> key;
    pipeline::Payload body;
    Duration timeLimit {}; ///< From now; 0 for the pipeline's own deadline, which also bounds it.
    bool stream = false;
    std::optional<routing::PrefixHash> prefix;
};

/// @brief Call a backend server.
struct SendCall {
    pipeline::StartCall call;
    config::BackendServer server;
    std::uint32_t priority = 0;
    std::optional<routing::PrefixHash> prefix; ///< Leading part of the prompt, for model engines.
    std::string idempotencyKey; ///< Told to the backend server of a call that is not idempotent; else empty.
};

/// @brief Stop a call. Whether it started must still be reported for a call that is not idempotent.
struct StopCall {
    pipeline::AttemptId id;
    BackendServerId server;
};

/// @brief Identifies a claim: one effect that one account asked for once.
struct ClaimKey {
    ClientAccountId account;
    ServiceId service;
    IdempotencyKey key;
};

/// @brief Claim the right to make a call; answer with `onClaim`, always.
struct ClaimCall {
    RunId run;
    StageIndex stage = 0;
    ClaimKey key;
    std::string bodyHash;
    TimePoint deadline;
};

/// @brief Record how a claimed call ended.
struct EndClaim {
    RunId run;
    StageIndex stage = 0;
    ClaimKey key;
    pipeline::ClaimEnd end = pipeline::ClaimEnd::Unknown;
    pipeline::Payload answer;
};

/// @brief What one service cost a run.
struct StageCost {
    ServiceId service;
    std::uint32_t attempts = 0;
    Cost calls;
    Cost links;
    Cost wasted; ///< Part of the above that went into attempts whose result was not used.
    std::uint32_t crossZone = 0; ///< Attempts that left the zone.
};

/// @brief Tell the caller how the run ended.
struct Reply {
    RunId run;
    ClientAccountId account;
    pipeline::Outcome outcome;
    std::vector<StageCost> costs;
    pipeline::RunCounters counters;
    Duration waited {}; ///< Time in the admission queue.
};

/// @brief One thing that the driver has to do.
using Action = std::variant<SendCall, StopCall, pipeline::SetTimer, ClaimCall, EndClaim, pipeline::EmitTokens, Reply>;
using Actions = std::vector<Action>;

/// @brief How requests are served; the switches exist so that each policy can be measured against its absence.
struct DispatcherOptions {
    routing::PoolOptions pools;
    std::size_t shards = 8;
    bool admission = true;
    bool hedging = true;
    double extraShare = 0.04; ///< Hedges and costly retries for each first attempt; 0 for none.
    double overcommit = 1.5; ///< Slots filled for each slot of this instance's share.
    std::size_t maxQueued = 20000; ///< Runs that may wait for admission.
};

/// @brief Counters for metrics.
struct DispatcherStatus {
    std::uint64_t runs = 0; ///< Runs in progress, waiting ones included.
    std::uint64_t queued = 0;
    std::uint64_t strayResults = 0; ///< Results that fitted no open attempt, dropped.
    std::uint64_t limitedAccounts = 0;
};

/// @brief Serves requests: admission, fairness, runs, placement and their budgets; no I/O.
///
/// Thread-safe: runs live in shards by their id, each under its own lock. Every event takes the time and adds the
/// actions that follow from it. Example:
/// @code
/// auto dispatcher = makeDispatcher(options);
/// dispatcher->configure(version, declarations);
/// dispatcher->submit(dispatcher->newRun(), request, now, actions);
/// @endcode
class Dispatcher {
public:
    virtual ~Dispatcher() = default;

    /// @brief Puts a configuration in force; a version that is not higher is ignored.
    virtual bool configure(ConfigVersion version, std::shared_ptr<const config::Declarations> declarations) = 0;
    /// @brief The configuration in force; null before the first.
    virtual std::shared_ptr<const Catalog> catalog() const = 0;
    /// @brief Sets the number of live instances, this one included, that share the backend servers.
    virtual void setInstances(std::size_t n) = 0;
    /// @brief Servers that get nothing new.
    virtual void setLeaving(const std::set<BackendServerId>& leaving) = 0;
    /// @brief From now on every new request is refused; runs in progress go on.
    virtual void stopAccepting() = 0;

    /// @brief A number for a new run, so that its caller can be registered before it starts.
    virtual RunId newRun() = 0;
    /// @brief Takes a request of a known pipeline and account as run `id`.
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
    virtual void onCallerLeft(RunId run, TimePoint now, Actions& out) = 0;
    virtual void onLoadReport(
        const ServiceId& service, const BackendServerId& server, const routing::LoadReport& report)
        = 0;
    virtual void onCacheEvent(const ServiceId& service, const BackendServerId& server, const routing::CacheEvent& event)
        = 0;

    /// @brief Demand for limited accounts since the last call.
    virtual std::vector<limits::AccountDemand> drainDemand(TimePoint now) = 0;
    /// @brief Takes this instance's part of an account's rate.
    virtual void setAllowance(const ClientAccountId& account, double perSecond, TimePoint now) = 0;

    virtual DispatcherStatus status() const = 0;
};

/// @brief Makes a dispatcher without a configuration.
std::unique_ptr<Dispatcher> makeDispatcher(DispatcherOptions options);

} // namespace foxtailwheel::serving
