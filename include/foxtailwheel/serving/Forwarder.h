#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Routes.h"
#include "foxtailwheel/http/Message.h"
#include "foxtailwheel/routing/ServerPool.h"
#include "foxtailwheel/serving/BatchQueue.h"
#include "foxtailwheel/serving/Note.h"
#include "foxtailwheel/serving/PieceBroker.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Number of one caller's request that is passed on, unique in a process.
using ForwardId = StrongNumber<struct ForwardTag>;

/// @brief One part of a prompt; requests that share leading parts can use the same cached state.
struct PromptPart {
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// @brief A caller's request for a route.
struct ForwardRequest {
    std::string name; ///< The caller's own name of this attempt.
    std::string host;
    http::Request message; ///< Method, target, body, and the headers that are passed on.
    std::string credential; ///< Empty where none came.
    std::optional<Duration> timeLeft; ///< How long the caller will wait.
    std::vector<std::uint32_t> pieces; ///< Pieces of each stage of the route; 0 leaves the stage out.
    std::string pieceKey;
    std::vector<PromptPart> prompt;
    std::optional<std::uint64_t> lastEventId; ///< The caller has the events up to this one.
};

/// @brief A backend server as its own announcement describes it.
struct AnnouncedServer {
    config::BackendServer server;
    ServiceId service;
    bool leaving = false;
    std::uint32_t slots = 0;

    friend bool operator==(const AnnouncedServer&, const AnnouncedServer&) = default;
};

/// @brief Send a caller's request to a backend server.
struct SendForward {
    CallId call;
    ForwardId request;
    config::BackendServer server;
    http::Request message; ///< As the caller sent it.
    std::string name;
    ClientAccountId account; ///< Empty where the route is public.
    Duration timeLeft {};
    std::uint32_t priority = 0;
    std::vector<std::string> inputs; ///< Handles of the stages' results.
    std::optional<std::uint64_t> lastEventId; ///< Events up to this one are not wanted again.
    bool streams = false;
    bool idempotent = false;
    TimePoint deadline;
};

/// @brief Break off a call; its end is still reported.
struct StopForward {
    CallId call;
};

/// @brief Why a request ended as it did; for answers, logs and metrics.
enum class ForwardEnd {
    Answered, ///< The backend server's answer was passed on, whatever its status.
    NoConfiguration,
    NoRoute,
    BadCredential,
    CredentialsOutdated,
    BadRequest,
    NoServer,
    Overloaded,
    StageFailed,
    NotStarted, ///< The backend servers said that they did not start it.
    BackendFailed, ///< It may have run.
    TimedOut, ///< It may have run.
    TimedOutWaiting, ///< It never left this instance.
    CallerLeft,
    StreamBroken,
    ShuttingDown,
};

/// @brief Name of an end as it is written in answers, logs and metrics.
std::string_view toString(ForwardEnd end);

/// @brief Answer a caller in full.
struct ReplyWhole {
    ForwardId request;
    http::Response response;
    ForwardEnd end = ForwardEnd::Answered;
    Duration retryAfter {}; ///< 0 for none.
};

/// @brief Begin a streamed answer.
struct ReplyHead {
    ForwardId request;
    http::Response head;
};

/// @brief Add bytes to a streamed answer.
struct ReplyBytes {
    ForwardId request;
    std::string bytes;
};

/// @brief End a streamed answer, whole or by breaking its connection.
struct ReplyEnd {
    ForwardId request;
    ForwardEnd end = ForwardEnd::Answered;
};

/// @brief What the forwarder wants done.
using ForwardAction = std::variant<SendForward, StopForward, SendBatch, TellInstance, ReleaseResults, ReplyWhole,
    ReplyHead, ReplyBytes, ReplyEnd>;
using ForwardActions = std::vector<ForwardAction>;

/// @brief How a call of a caller's request ended.
enum class ForwardCallEnd {
    Complete, ///< The whole answer came.
    NotSent, ///< No byte was handed to a socket.
    Refused, ///< The server said that it did not and will not run it.
    Misdirected, ///< Another server has the address; nothing ran.
    InputGone, ///< A stage's result is gone; nothing ran.
    Broken, ///< The connection ended early, or what came is no answer to this request.
    TimedOut,
};

/// @brief Name of an end as it is written in logs.
std::string_view toString(ForwardCallEnd end);

/// @brief Load that a backend server told with an answer.
struct ToldLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// @brief How requests are passed on.
struct ForwarderOptions {
    routing::PoolOptions pools;
    Duration crossZoneDelay = std::chrono::milliseconds(5); ///< One way between availability zones; the sheets' figure.
    double retryShare = 0.2; ///< Repeated calls for each first one, over all instances; the operators' bound.
    double retryExtra = 50; ///< Repeated calls besides in a window, over all instances; the operators' bound.
    Duration retryWindow = std::chrono::seconds(10);
    Duration credentialLife = std::chrono::milliseconds(4500); ///< Oldest confirmation of credentials that counts.
    bool batchAcrossInstances = true; ///< Off only to measure what shared batches gain.
    bool admissionControl = true; ///< Off only to measure what refusing at once gains.
    bool affinity = true; ///< Off only to measure what cached prompts gain.
    bool hedging = true; ///< Off only to measure what they gain.
    NoteSink note; ///< May be empty.
};

/// @brief Counts for metrics and readiness.
struct ForwarderStatus {
    std::uint64_t version = 0; ///< Of the configuration in force; 0 for none.
    std::size_t requests = 0; ///< In progress.
    std::size_t piecesWaiting = 0;
    bool credentialsCurrent = false;
};

/// @brief Passes requests of routes on to backend servers: credentials, stages in pieces, placement, repeats, streams
/// and their limits of time; no I/O.
///
/// Not thread-safe: one driver thread owns it. Every event takes the time and adds the actions that follow from it.
class Forwarder {
public:
    static std::unique_ptr<Forwarder> create(ForwarderOptions options);
    virtual ~Forwarder() = default;

    /// @brief Puts a configuration in force; one that is not newer is ignored.
    virtual bool configure(std::shared_ptr<const config::RouteTable> table, TimePoint now, ForwardActions& out) = 0;
    virtual std::shared_ptr<const config::RouteTable> table() const = 0;
    /// @brief Replaces the set of announced backend servers.
    virtual void setServers(const std::vector<AnnouncedServer>& servers, TimePoint now, ForwardActions& out) = 0;
    /// @brief The credentials in force are known to have been current at `asOf`.
    virtual void confirmCredentials(TimePoint asOf) = 0;
    /// @brief Takes the live instances, this one included, those among them that may own services, and those that are
    /// gone.
    virtual void setMembers(const std::vector<InstanceId>& live, const std::vector<InstanceId>& owners,
        const std::set<InstanceId>& removed, TimePoint now, ForwardActions& out)
        = 0;
    /// @brief Another instance has said something about pieces.
    virtual void onPeer(const InstanceId& from, const PieceMessage& message, TimePoint now, ForwardActions& out) = 0;

    /// @brief What was asked of another instance may be lost.
    virtual void onPeerLost(const InstanceId& instance, TimePoint now, ForwardActions& out) = 0;
    /// @brief From now on every new request is refused; those in progress go on.
    virtual void stopAccepting() = 0;
    virtual ForwardId newRequest() = 0;
    virtual void submit(ForwardId id, ForwardRequest request, TimePoint now, ForwardActions& out) = 0;
    virtual void onCallerLeft(ForwardId id, TimePoint now, ForwardActions& out) = 0;

    /// @brief The head of an answer came, with a status of 200 and the marks of an answer to this request.
    virtual void onHead(CallId call, http::Response head, TimePoint now, ForwardActions& out) = 0;
    /// @brief Bytes of a streamed answer came.
    virtual void onData(CallId call, std::string_view bytes, TimePoint now, ForwardActions& out) = 0;
    /// @brief A call ended; `response` holds the whole answer where `end` is `Complete` and it was not streamed.
    virtual void onEnd(CallId call, ForwardCallEnd end, http::Response response, TimePoint now, ForwardActions& out)
        = 0;
    virtual void onBatchEnd(
        CallId call, BatchEnd end, const std::vector<PieceResult>& results, TimePoint now, ForwardActions& out)
        = 0;
    virtual void onLoad(CallId call, const ToldLoad& load, TimePoint now) = 0;
    /// @brief Does what is due.
    virtual void onTime(TimePoint now, ForwardActions& out) = 0;
    /// @brief When `onTime` is next needed.
    virtual TimePoint nextTime() const = 0;

    virtual ForwarderStatus status(TimePoint now) const = 0;
};

} // namespace foxtailwheel::serving
