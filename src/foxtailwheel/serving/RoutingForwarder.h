#pragma once

#include "ForwardRun.h"
#include "ServerDirectory.h"
#include "foxtailwheel/base/SmoothedLatency.h"
#include "foxtailwheel/scheduling/AccountShares.h"
#include "foxtailwheel/scheduling/RequestQueue.h"
#include "foxtailwheel/scheduling/ReturnSchedule.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace foxtailwheel::serving {

/// @brief Interval between attempts to find a usable server.
constexpr Duration serverRetryInterval = std::chrono::milliseconds(25);
/// @brief Interval between attempts to resume a stream that the retry budget or the servers' rejections hold up.
constexpr Duration failoverRetryInterval = std::chrono::milliseconds(200);

/// @brief Formats a number for logs, truncated to an integer.
std::string formatInteger(double n);

/// @brief Formats the shared parts of a prompt for logs, separated by commas.
std::string formatSharedParts(const std::vector<PromptPart>& prompt);

/// @brief Returns what a request needs from a model engine.
routing::EngineDemand engineDemandOf(const ForwardRequest& request);

/// @brief HTTP status of a response that the forwarder itself creates.
unsigned httpStatus(ForwardOutcome outcome);

/// @brief Returns true for a status by which callers learn that their request did not run and never will.
bool meansNotRun(unsigned status);

/// @brief Purpose of a timer.
enum class TimerKind { Deadline, FindServer, Hedge, StreamSilence, RequestPieces, Dispatch, ServeWaiting };

/// @brief Returns the declared duration of a call with these pieces alone, or of a full call if they are more.
inline Duration callTimeOf(const config::BatchLimits& batch, std::size_t pieces)
{
    return batch.callTime + batch.pieceTime * std::min<std::size_t>(pieces, batch.maxPieces);
}

/// @brief A scheduled timer; ignored if its run or call has ended.
struct Timer {
    TimerKind kind = TimerKind::Deadline;
    ForwardId run;
    CallId call;
    ServiceId service;
};

/// @brief Longest timeout that callers of a route sent recently.
struct CallerTimeout {
    Duration timeout {};
    TimePoint expiresAt;
};

/// @brief A stage of a run, to which a group of pieces belongs.
struct StageRef {
    ForwardId run;
    StageIndex stage = 0;
};

/// @brief Implementation of `Forwarder`.
///
/// The methods are split by concern: ForwardRequests.cpp (admission and completion), ForwardStages.cpp,
/// ForwardCalls.cpp, ForwardDrain.cpp (drained zones and allowed regions), Forwarder.cpp (configuration, members and
/// timers).
class RoutingForwarder final : public Forwarder {
public:
    explicit RoutingForwarder(ForwarderOptions options)
        : m_options(std::move(options))
        , m_directory(m_options, [this] { return allocateCallId(); })
        , m_broker(
              m_options.pools.self, [this](const ServiceId& id) { return findQueue(id); }, m_options.decisionLog)
        , m_crashingParts(m_options.epoch)
        , m_returns(m_options.pools.seed)
        , m_random(m_options.pools.seed)
        , m_nextGroupId(m_options.firstGroupId)
    {
    }

    bool configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out) override;
    std::shared_ptr<const config::RouteTable> table() const override { return m_table; }
    void setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out) override;
    bool confirmCredentials(std::uint64_t configVersion, TimePoint asOf) override
    {
        if (m_table && configVersion < m_table->version)
            return false;
        m_credentialsConfirmedAt = std::max(m_credentialsConfirmedAt, asOf);
        return true;
    }
    void setCredentialMaxAge(Duration age) override { m_options.credentialMaxAge = age; }
    void onServerSignal(
        const config::BackendServer& server, const ServerSignal& signal, TimePoint now, ForwardActions& out) override;
    std::optional<TimePoint> pausedUntil(
        const ServiceId& service, const BackendServerId& server, TimePoint now) const override;
    void setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now, ForwardActions& out) override;
    bool isDrained(const AvailabilityZoneId& zone) const override { return m_directory.drainedZones().contains(zone); }
    void onServerChecked(const CheckServer& check, bool passed, TimePoint now) override;
    void onServerLeaving(const LeavingServer& server, TimePoint now) override;
    void setCrashRecords(const std::vector<CrashRecord>& records, TimePoint now) override
    {
        m_crashingParts.setRecords(records, now);
    }
    void setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& removed, TimePoint now, ForwardActions& out) override;
    void onPeerMessage(
        const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out) override;
    void onPeerConnectionLost(const InstanceId& instance, TimePoint now, ForwardActions& out) override;
    void onPeerUnreachable(const InstanceId& instance, TimePoint now, ForwardActions& out) override;
    void beginShutdown(TimePoint endsAt) override { m_endsAt = endsAt; }
    void stopAccepting() override { m_accepting = false; }
    void endAll(TimePoint now, ForwardActions& out) override;
    ForwardId allocateRequestId() override { return ForwardId(++m_lastRunId); }
    void submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out) override;
    void onCallerDisconnected(ForwardId id, TimePoint now, ForwardActions& out) override;
    void onResponseHead(CallId call, http::Response head, TimePoint now, ForwardActions& out) override;
    void onResponseData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out) override;
    void onCallEnd(
        CallId call, ForwardCallOutcome outcome, http::Response response, TimePoint now, ForwardActions& out) override;
    void onBatchEnd(CallId call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now,
        ForwardActions& out) override;
    void onLoadReport(CallId call, const ReportedLoad& load, TimePoint now) override;
    std::vector<routing::SharedLoad> loadReports(TimePoint now) override;
    std::vector<ServiceLoad> serviceLoads(TimePoint now) const override;
    void onSharedLoads(const std::vector<routing::SharedLoad>& reports, TimePoint now) override;
    std::vector<routing::ColdNotice> coldServers(TimePoint now) override { return m_directory.coldServers(now); }
    void onColdServers(const std::vector<routing::ColdNotice>& notices, TimePoint now) override
    {
        m_directory.onColdServers(notices, now);
    }
    void onTimer(TimePoint now, ForwardActions& out) override;
    TimePoint nextTimerAt() const override
    {
        const auto timer = m_timers.empty() ? TimePoint::max() : m_timers.begin()->first;
        return std::min(timer, m_broker.nextTimerAt());
    }
    std::uint64_t coldCallsHeld() const override { return m_directory.coldCallsHeld(); }
    ForwarderStatus status(TimePoint now) const override;
    SchedulingStatus schedulingStatus(TimePoint now) const override;
    PlacementExplanation explainPlacement(const ForwardRequest& request, TimePoint now) override;

private:
    CallId allocateCallId() { return CallId(++m_lastCallId); }
    BatchQueue* findQueue(const ServiceId& id);
    void dispatchAll(TimePoint now, ForwardActions& out);
    void updateQueueShares(TimePoint now);
    bool isScheduled(const ServiceId& service) const;
    bool isAnyServiceScheduled() const;
    void shareLoad(const BackendServerId& server, const ReportedLoad& load, ServiceState& state, TimePoint now);
    void shareTimeRatio(const BackendServerId& server, std::optional<double> ratio);
    ForwardRun* findRun(ForwardId id);
    ForwardRun* findRunOfCall(CallId call);
    void setTimer(TimePoint at, Timer timer) { m_timers.emplace(at, std::move(timer)); }
    void logServerDecision(std::string_view event, std::vector<std::pair<std::string_view, std::string>> fields) const;
    void logHealthChange(const ForwardRun& run, const BackendServerId& server, routing::HealthChange change) const;
    void logDecision(const ForwardRun& run, std::string_view event,
        std::vector<std::pair<std::string_view, std::string>> fields) const;

    std::optional<ForwardOutcome> authorize(ForwardRun& run, TimePoint now) const;
    const config::RouteTarget& pickTarget(const ForwardRun& run);
    void checkSuspectedServer(const ServiceId& service, TimePoint now, ForwardActions& out);
    void pauseServer(const BackendServerId& server, Duration pause, TimePoint now);
    bool refuseIfAllPaused(ForwardRun& run, TimePoint now, ForwardActions& out);
    void restrictToRegions(ForwardRun& run, const std::set<std::string>& regions) const;
    std::vector<ServiceId> neededServices(const ForwardRun& run) const;
    bool refuseIfWithoutServer(
        ForwardRun& run, const std::vector<ServiceId>& services, TimePoint now, ForwardActions& out);
    void requestPiecesAgain(ForwardRun& run, const ServiceId& service, TimePoint now, ForwardActions& out);
    bool refuseIfWithoutServer(ForwardRun& run, TimePoint now, ForwardActions& out)
    {
        return refuseIfWithoutServer(run, neededServices(run), now, out);
    }
    bool refuseIfCrashing(ForwardRun& run, TimePoint now, ForwardActions& out);
    bool isAnsweredBeforeEnd(const ForwardRun& run, TimePoint now) const;
    bool refuseIfEnding(ForwardRun& run, TimePoint now, ForwardActions& out);
    void start(ForwardRun& run, TimePoint now, ForwardActions& out);
    Duration timeSpentOnEarlierAttempts(const ForwardRun& run, TimePoint now);
    void chooseZone(ForwardRun& run, TimePoint now);
    Duration expectedLateTime(const ForwardRun& run, TimePoint now) const;
    Duration expectedTime(const ForwardRun& run, bool late, TimePoint now) const;
    std::optional<Duration> retryAfterOverload(const ForwardRun& run, TimePoint now);
    std::optional<Duration> retryAfterForecast(const ForwardRun& run, TimePoint now) const;
    std::optional<Duration> decideUnderOverload(const ForwardRun& run, TimePoint now);
    double serverSeconds(const ForwardRun& run) const;

    CandidateState candidateState(
        const ForwardRun& run, const ServiceState& state, const routing::ServerStatus& server, TimePoint now) const;
    void explainCandidates(
        const ForwardRun& run, const ServiceState& state, TimePoint now, PlacementExplanation& out) const;

    void startStages(ForwardRun& run, TimePoint now, ForwardActions& out);
    void requestPieces(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out);
    void submitGroup(ForwardRun& run, StageIndex stage, PieceGroup group, TimePoint now, ForwardActions& out);
    void restartStages(ForwardRun& run, TimePoint now, ForwardActions& out);
    void runStagesAgain(ForwardRun& run, TimePoint now, ForwardActions& out);
    Piece makePiece(const ForwardRun& run, StageIndex stage, std::uint32_t index) const;
    void applyBrokerActions(BrokerActions actions, TimePoint now, ForwardActions& out);
    Duration usualTimeToFirstByte(const ForwardRun& run) const;
    Duration usualResponseTime(const ForwardRun& run) const;
    bool isSilent(const ForwardRun& run, const OpenCall& call, TimePoint now) const;
    void recordTimeToFirstByte(const ForwardRun& run, const OpenCall& call, TimePoint now);
    void recordResponseTime(const ForwardRun& run, const OpenCall& call, TimePoint now);
    TimePoint stageTargetTime(const ForwardRun& run, StageIndex stage) const;
    PieceGroup makeGroup(const ForwardRun& run, StageIndex stage, TimePoint now) const;
    static std::optional<AvailabilityZoneId> preferredZoneOf(const ForwardRun& run, StageIndex stage);
    static long countRemainingStages(const ForwardRun& run, StageIndex stage);
    void onPieceDone(const PieceDone& piece, TimePoint now, ForwardActions& out);
    void onPieceFailed(ForwardRun& run, StageIndex stage, const PieceDone& piece, PieceFailure failure, TimePoint now,
        ForwardActions& out);
    void release(ReleaseResults results, TimePoint now, ForwardActions& out);
    void releaseStage(ForwardRun& run, StageIndex stage, TimePoint now, ForwardActions& out);
    void releaseConsumedResults(ForwardRun& run, TimePoint now, ForwardActions& out);
    void cancelStages(ForwardRun& run, TimePoint now, ForwardActions& out);
    void cancelGroups(StageProgress& stage, ForwardActions& out);

    void sendRequest(ForwardRun& run, TimePoint now, ForwardActions& out);
    std::optional<std::uint64_t> affinityOf(const ForwardRun& run) const;
    bool trySend(ForwardRun& run, bool retry, TimePoint now, ForwardActions& out);
    void closeCall(
        ForwardRun& run, CallId call, routing::CallOutcome outcome, bool stop, TimePoint now, ForwardActions& out);
    void onCallNotRun(ForwardRun& run, ForwardCallOutcome outcome, TimePoint now, ForwardActions& out);
    static bool isWholeStream(const ForwardRun& run, const OpenCall& call);
    void recordCrash(const ForwardRun& run, const OpenCall& call, TimePoint now, ForwardActions& out);
    void onEvent(const ForwardRun& run, OpenCall& call, TimePoint now, ForwardActions& out);
    void onCallBroken(ForwardRun& run, ForwardCallOutcome outcome, TimePoint now, ForwardActions& out);
    void resendRequest(ForwardRun& run, TimePoint now, ForwardActions& out);
    void onResponseComplete(ForwardRun& run, http::Response response, TimePoint now, ForwardActions& out);
    bool failOverStream(ForwardRun& run, TimePoint now, ForwardActions& out);
    static Duration callerGap(const ForwardRun& run);
    static Duration streamSilenceTimeout(const ForwardRun& run);
    TimePoint resumableUntil(const ForwardRun& run) const;
    void checkStreamSilence(ForwardRun& run, const Timer& timer, TimePoint now, ForwardActions& out);
    void clearPartialEvent(ForwardRun& run);
    void breakOversizedStreams(ForwardRun& run, CallId call, TimePoint now, ForwardActions& out);
    void breakStream(ForwardRun& run, CallId call, TimePoint now, ForwardActions& out);

    void refuse(ForwardRun& run, ForwardOutcome outcome, Duration retryAfter, TimePoint now, ForwardActions& out);
    void finishStream(ForwardRun& run, ForwardOutcome outcome, TimePoint now, ForwardActions& out);
    void closeRun(ForwardRun& run, TimePoint now, ForwardActions& out);
    void fail(ForwardRun& run, ForwardOutcome outcome, TimePoint now, ForwardActions& out);
    void handleTimer(const Timer& timer, TimePoint now, ForwardActions& out);
    bool findServer(ForwardRun& run, TimePoint now, ForwardActions& out);
    void awaitServer(const ForwardRun& run, Duration delay, TimePoint now);
    void serveWaiting(const ServiceId& service, TimePoint now, ForwardActions& out);
    void scheduleServing(const ServiceId& service, TimePoint at);
    void onDeadline(ForwardRun& run, TimePoint now, ForwardActions& out);

    ForwarderOptions m_options;
    std::shared_ptr<const config::RouteTable> m_table;
    ServerDirectory m_directory;
    PieceBroker m_broker;
    CrashingParts m_crashingParts;
    routing::LoadExchange m_loadExchange;
    std::size_t m_instanceCount = 1;
    bool m_accepting = true;
    TimePoint m_endsAt = TimePoint::max(); ///< End of the process, if it is known.
    std::map<ServiceId, scheduling::RequestQueue> m_waitingRequests; ///< Where scheduling is on.
    std::map<ServiceId, TimePoint> m_servingTimers; ///< Next time at which waiting requests of a service are sent.
    scheduling::ReturnSchedule m_returns;
    scheduling::AccountShares m_accountShares;
    Random m_random;
    std::unordered_map<ForwardId, std::unique_ptr<ForwardRun>> m_runs;
    std::unordered_map<CallId, ForwardId> m_calls;
    std::unordered_map<CallId, ServiceId> m_batchCalls;
    std::unordered_map<PieceGroupId, StageRef> m_groups;
    std::size_t m_partialEventBytes = 0; ///< Of all runs.
    std::multimap<TimePoint, Timer> m_timers;
    std::unordered_map<std::string, CallerTimeout> m_callerTimeouts; ///< By route.
    std::unordered_map<std::string, SmoothedLatency>
        m_timesToFirstByte; ///< From sending a call to the head of its response, by route.
    std::unordered_map<std::string, SmoothedLatency>
        m_timesToEnd; ///< From sending a call to the end of its response, by route; not for resumable streams.
    std::map<ServiceId, TimePoint> m_dispatchTimers; ///< Next dispatch of each service's queue.
    TimePoint m_credentialsConfirmedAt {};
    std::uint64_t m_lastRunId = 0;
    std::uint64_t m_lastCallId = 0;
    std::uint64_t m_nextGroupId;
};

} // namespace foxtailwheel::serving
