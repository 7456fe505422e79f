#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/routing/EvenLoad.h"
#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/CrashingParts.h"
#include "foxtailwheel/serving/DecisionLog.h"
#include "foxtailwheel/serving/EventStream.h"
#include "foxtailwheel/serving/PieceBroker.h"
#include "foxtailwheel/serving/PlacementExplanation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Number of a caller's request that is forwarded, unique within a process.
using ForwardId = StrongNumber<struct ForwardTag>;

/// @brief A caller's request for a route.
struct ForwardRequest {
    std::string attemptId; ///< Attempt id that the caller chose.
    std::string host;
    http::Request message; ///< Method, target, body, and the headers that are forwarded.
    std::string credential; ///< Empty if the caller sent none.
    std::optional<Duration> remainingTime; ///< Time until the caller's deadline.
    std::vector<std::uint32_t> pieceCounts; ///< Number of pieces for each stage of the route; 0 skips the stage.
    std::string pieceKey; ///< Key of the pieces of stages that depend on no other stage.
    std::vector<PromptPart> prompt;
    TokenCounts tokens;
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller has received.
};

/// @brief A backend server as described by its own announcement.
struct AnnouncedServer {
    config::BackendServer server;
    ServiceId service;
    bool leaving = false;
    std::uint32_t slots = 0; ///< Calls that the server runs at once.
    WallTime startedAt {}; ///< Tells processes with the same id apart; unset if the entry does not have it.
    std::uint64_t sequence = 0; ///< Number of the entry, which grows with each write of the same process.
    Duration coldRemaining {}; ///< Time for which the server remained cold when it wrote the entry.

    friend bool operator==(const AnnouncedServer&, const AnnouncedServer&) = default;
};

/// @brief What a server says about itself in a response.
struct ServerSignal {
    bool leaving = false; ///< It ends soon and wants no new calls.
    Duration pause {}; ///< It rejected the call and wants no further ones for this time.
    bool isOther = false; ///< It is not the server that was called, but another one at its address.
    Duration coldRemaining {}; ///< Time for which it remains cold; 0 if it does not say.
};

/// @brief A server said in a response that it is leaving. As an action: to be shared with all instances.
struct LeavingServer {
    BackendServerId server;
    WallTime startedAt {}; ///< Of the process that leaves.

    friend bool operator==(const LeavingServer&, const LeavingServer&) = default;
};

/// @brief Action: send a caller's request to a backend server.
struct SendUpstreamRequest {
    CallId call;
    ForwardId request;
    config::BackendServer server;
    http::Request message; ///< Unchanged from the caller.
    std::string attemptId; ///< Attempt id that the caller chose.
    ClientAccountId account; ///< Empty if the route is public.
    Duration remainingTime {};
    std::uint32_t priority = 0;
    std::vector<std::string> inputs; ///< Handles of the stage results that the request uses.
    std::optional<std::uint64_t> lastEventId; ///< The server resumes the stream after this event.
    bool streams = false; ///< The response is an event stream.
    bool idempotent = false;
    TimePoint deadline;
    bool readsResults = false; ///< The route has stages: the server expects `inputs`, although they can be empty.
};

/// @brief Action: check whether a suspected server is sound, with a request that has no effect.
struct CheckServer {
    ServiceId service;
    config::BackendServer server;
    std::string path; ///< Path of the health check.
};

/// @brief Action: cancel a call. Its end is still reported.
struct CancelUpstreamRequest {
    CallId call;
};

/// @brief Outcome of a request, for responses, logs and metrics.
enum class ForwardOutcome {
    Answered, ///< The backend server's response was forwarded, whatever its status.
    NoConfiguration,
    InvalidConfiguration, ///< The configuration declares what the request needs in a way that cannot be used.
    NoRoute,
    UnknownStage, ///< The request has pieces for a stage that the configuration in force does not have.
    BadCredential,
    CredentialsOutdated,
    BadRequest,
    NoServer,
    Overloaded,
    StageFailed,
    NoServerInRegion, ///< A service that the request needs has no server in the regions that the request allows.
    ZonesDrained, ///< All servers of a service that the request needs are in drained zones.
    ServersPaused, ///< All servers of the service asked to be left alone for a while.
    CrashesServers, ///< The prompt has a part on which servers crash.
    NotStarted, ///< The backend servers reported that they did not start the request.
    BackendFailed, ///< The request may have run.
    TimedOut, ///< The request may have run.
    TimedOutWaiting, ///< The request was never sent to a backend server.
    CallerDisconnected,
    StreamBroken,
    ShuttingDown,
};

/// @brief Returns the name of an outcome as written in responses, logs and metrics.
std::string_view toString(ForwardOutcome outcome);

/// @brief Action: send a complete response to a caller.
struct SendResponse {
    ForwardId request;
    http::Response response;
    ForwardOutcome outcome = ForwardOutcome::Answered;
    Duration retryAfter {}; ///< 0 for none.
};

/// @brief Action: send the head of a streamed response.
struct SendResponseHead {
    ForwardId request;
    http::Response head;
};

/// @brief Action: send body bytes of a streamed response.
struct SendResponseData {
    ForwardId request;
    std::string bytes;
};

/// @brief Action: end a streamed response, either normally or by closing its connection.
struct EndResponse {
    ForwardId request;
    ForwardOutcome outcome = ForwardOutcome::Answered;
};

/// @brief Action that the forwarder's owner must execute. `CrashRecordUpdate` and `LeavingServer` are shared with all
/// instances.
using ForwardAction = std::variant<SendUpstreamRequest, CancelUpstreamRequest, SendBatch, CheckServer, SendToInstance,
    ReleaseResults, SendResponse, SendResponseHead, SendResponseData, EndResponse, CrashRecordUpdate, LeavingServer>;
using ForwardActions = std::vector<ForwardAction>;

/// @brief Outcome of one call for a caller's request.
enum class ForwardCallOutcome {
    Complete, ///< The whole response was received.
    Undelimited, ///< The response ended with its connection, and nothing else marked its end.
    NotSent, ///< No byte was written to a socket.
    Refused, ///< The server reported that it has not run and will not run the request.
    Misdirected, ///< Another server uses the address; the request did not run.
    InputMissing, ///< A stage result no longer exists; the request did not run.
    Broken, ///< The connection ended early, or the response does not belong to this request.
    BrokenInHead, ///< The connection ended inside of the head of the response.
    TimedOut,
};

/// @brief Returns the name of an outcome as written in logs.
std::string_view toString(ForwardCallOutcome outcome);

/// @brief Load that a backend server reported with a response.
struct ReportedLoad {
    std::uint32_t running = 0; ///< Calls in execution.
    std::uint32_t queued = 0; ///< Calls in the queue of the server.
    /// @brief Time that work takes on the machine of the server now, relative to usual; empty if the server does not
    /// report it.
    std::optional<double> slowdown = std::nullopt;
};

/// @brief Where scheduling under overload and placement by shared load reports are on.
enum class SchedulingMode {
    Off,
    On, ///< For all routes.
    WhereReported, ///< For routes of a service whose servers report how slow their machines are.
};

/// @brief Options of request forwarding.
struct ForwarderOptions {
    routing::PoolOptions pools;
    std::map<AvailabilityZoneId, std::string> zoneRegions {}; ///< Region of each zone; a zone without one is in none.
    Duration crossZoneDelay = std::chrono::milliseconds(5); ///< One-way network delay, as specified.
    double retryBudgetFraction = 0.2; ///< Retries per first call, over all instances; limit set by the operators.
    double retryBudgetReserve = 50; ///< Additional retries per window, over all instances; limit set by the operators.
    Duration retryBudgetWindow = std::chrono::seconds(10);
    Duration credentialMaxAge = std::chrono::milliseconds(4500); ///< Maximum age of their last confirmation.
    bool batchAcrossInstances = true; ///< Disabled only to measure the effect of batches shared by instances.
    bool admissionControl = true; ///< Disabled only to measure the effect of early rejection.
    bool affinity = true; ///< Disabled only to measure the effect of cached prompts.
    SchedulingMode scheduling = SchedulingMode::Off;
    bool hedging = true; ///< Hedged calls and failover of silent streams; disabled only to measure their effect.
    /// @brief Groups of pieces are numbered from here. Processes of the same instance need ranges that do not overlap:
    /// owners may still send results for groups of a process that has ended.
    std::uint64_t firstGroupId = 1;
    WallTime epoch {}; ///< Time of day at `TimePoint {}`, for records that instances share.
    std::size_t maxEventBytes = EventSplitter::defaultMaxEventBytes; ///< A stream with a larger event is broken.
    /// @brief Bytes of incomplete events of all streams together; above it, the stream with the largest one is broken.
    std::size_t maxPartialEventBytes = std::size_t { 16 } << 20U;
    DecisionLog decisionLog; ///< May be empty.
};

/// @brief Load of a service where scheduling is on, for metrics.
struct ServiceLoad {
    ServiceId service;
    routing::KnownLoad known;
    std::uint64_t callsAtFullServers = 0; ///< Own calls whose server reported waiting calls, since the start.
};

/// @brief State for metrics and readiness checks.
struct ForwarderStatus {
    std::uint64_t configVersion = 0; ///< Version of the active configuration; 0 for none.
    std::size_t activeRequests = 0; ///< In progress.
    bool credentialsCurrent = false;
};

/// @brief State of scheduling under overload for metrics, empty where it is off.
struct SchedulingStatus {
    std::map<ServiceId, std::size_t> waitingRequests; ///< Requests that wait for a server.
    std::map<ClientAccountId, double> accountUsage; ///< Recent cost divided by the fair share.
    double expectedRetrySeconds = 0; ///< Server time of the retries that refused callers were told, of the next second.
};

/// @brief Forwards requests of routes to backend servers. Handles credentials, stages and their pieces, placement,
/// retries, streams and timeouts. Performs no I/O.
///
/// Not thread-safe: one driver thread owns it. Every event handler is given the current time and appends the resulting
/// actions to `out`.
class Forwarder {
public:
    static std::unique_ptr<Forwarder> create(ForwarderOptions options);
    virtual ~Forwarder() = default;

    /// @brief Activates a configuration. Returns false and changes nothing if it is not newer than the active one.
    virtual bool configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out) = 0;
    virtual std::shared_ptr<const config::RouteTable> table() const = 0;
    /// @brief Replaces the set of announced backend servers.
    virtual void setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out) = 0;
    /// @brief Replaces the drained zones. Their servers get no calls of any kind; calls in progress there go on.
    virtual void setDrainedZones(std::set<AvailabilityZoneId> zones, TimePoint now, ForwardActions& out) = 0;
    virtual bool isDrained(const AvailabilityZoneId& zone) const = 0;
    /// @brief Handles what a server said about itself with any response, at its head.
    virtual void onServerSignal(
        const config::BackendServer& server, const ServerSignal& signal, TimePoint now, ForwardActions& out)
        = 0;
    /// @brief Returns the time until which a server gets no calls because it asked for a pause; empty if it did not.
    virtual std::optional<TimePoint> pausedUntil(
        const ServiceId& service, const BackendServerId& server, TimePoint now) const = 0;
    /// @brief A check has ended.
    /// @param passed The server is reachable and does not say that it is unsound.
    virtual void onServerChecked(const CheckServer& check, bool passed, TimePoint now) = 0;
    /// @brief Another instance learned that a server is leaving.
    virtual void onServerLeaving(const LeavingServer& server, TimePoint now) = 0;
    /// @brief Records that version `configVersion` of the configuration was the newest one at `asOf`, and with it its
    /// credentials. An older one than the active one confirms nothing: a store that returned from an older copy may
    /// have lost newer ones as well.
    /// @return True if the active credentials were confirmed.
    virtual bool confirmCredentials(std::uint64_t configVersion, TimePoint asOf) = 0;
    /// @brief Replaces the maximum age of the last confirmation of the credentials.
    virtual void setCredentialMaxAge(Duration age) = 0;
    /// @brief Replaces the crash records that the instances share.
    virtual void setCrashRecords(const std::vector<CrashRecord>& records, TimePoint now) = 0;
    /// @brief Sets the live instances.
    /// @param live All live instances, this one included.
    /// @param owners The live instances that may own services.
    /// @param removed Instances that are no longer members.
    virtual void setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& removed, TimePoint now, ForwardActions& out)
        = 0;
    /// @brief Handles a message about pieces from another instance.
    virtual void onPeerMessage(const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out)
        = 0;

    /// @brief The connection to an instance was lost, so requests sent to it may be lost.
    virtual void onPeerConnectionLost(const InstanceId& instance, TimePoint now, ForwardActions& out) = 0;
    /// @brief An instance refuses connections, because its process has ended.
    virtual void onPeerUnreachable(const InstanceId& instance, TimePoint now, ForwardActions& out) = 0;
    /// @brief The process ends at `endsAt`, when `endAll` is called. Requests are still accepted and sent to servers if
    /// they are expected to be answered by then; the others are refused, or fail if they may have run.
    virtual void beginShutdown(TimePoint endsAt) = 0;
    /// @brief Rejects all new requests from now on; requests in progress continue.
    virtual void stopAccepting() = 0;
    /// @brief Ends all requests in progress, because the process is about to end: those that have not run are refused,
    /// the others fail.
    virtual void endAll(TimePoint now, ForwardActions& out) = 0;
    /// @brief Allocates the id for a request.
    virtual ForwardId allocateRequestId() = 0;
    /// @brief Starts a request under an id from `allocateRequestId`.
    virtual void submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out) = 0;
    /// @brief The caller disconnected: cancels all work for its request.
    virtual void onCallerDisconnected(ForwardId id, TimePoint now, ForwardActions& out) = 0;

    /// @brief The head of a response was received. Its status is 200 and it has been verified to belong to this
    /// request.
    virtual void onResponseHead(CallId call, http::Response head, TimePoint now, ForwardActions& out) = 0;
    /// @brief Body bytes of a streamed response were received.
    virtual void onResponseData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out) = 0;
    /// @brief A call ended. `response` is the whole response if `outcome` is `Complete` and it was not streamed.
    virtual void onCallEnd(
        CallId call, ForwardCallOutcome outcome, http::Response response, TimePoint now, ForwardActions& out)
        = 0;
    /// @brief A batch call ended.
    /// @param results One result per piece if `outcome` is `Answered`.
    virtual void onBatchEnd(
        CallId call, BatchOutcome outcome, const std::vector<PieceResult>& results, TimePoint now, ForwardActions& out)
        = 0;
    /// @brief The server of a call reported its load.
    virtual void onLoadReport(CallId call, const ReportedLoad& load, TimePoint now) = 0;
    /// @brief Returns the newest load reports of servers for other instances; none while scheduling is on nowhere.
    virtual std::vector<routing::SharedLoad> loadReports(TimePoint now) = 0;
    /// @brief Returns the known load of all services without stages where scheduling is on.
    virtual std::vector<ServiceLoad> serviceLoads(TimePoint now) const = 0;
    /// @brief Handles load reports of another instance.
    virtual void onSharedLoads(const std::vector<routing::SharedLoad>& reports, TimePoint now) = 0;
    /// @brief Returns the servers that this instance knows to be cold, for other instances.
    virtual std::vector<routing::ColdNotice> coldServers(TimePoint now) = 0;
    /// @brief Handles what another instance said of cold servers; also called if none is.
    virtual void onColdServers(const std::vector<routing::ColdNotice>& notices, TimePoint now) = 0;
    /// @brief Runs all timers that are due.
    virtual void onTimer(TimePoint now, ForwardActions& out) = 0;
    /// @brief Returns when `onTimer` must be called next.
    virtual TimePoint nextTimerAt() const = 0;

    /// @brief Returns the number of calls that cold servers were left out of, since the start.
    virtual std::uint64_t coldCallsHeld() const = 0;
    virtual ForwarderStatus status(TimePoint now) const = 0;
    virtual SchedulingStatus schedulingStatus(TimePoint now) const = 0;
    /// @brief Explains where a request would go now, without sending it. The credential is not checked, and the regions
    /// and the share of its account are not considered.
    virtual PlacementExplanation explainPlacement(const ForwardRequest& request, TimePoint now) = 0;
};

} // namespace foxtailwheel::serving
