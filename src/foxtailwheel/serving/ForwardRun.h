#pragma once

#include "foxtailwheel/serving/EventStream.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <optional>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Pieces of one stage of a request.
struct StageProgress {
    std::vector<std::optional<ResultHandle>> results; ///< One for each piece.
    std::size_t missing = 0;
    PieceGroupId group;
    std::uint32_t retries = 0; ///< Groups that were asked for again after a failure.
    bool started = false;
    bool released = false;

    bool done() const { return started && missing == 0; }
};

/// @brief A call of a caller's request that is in progress.
struct OpenCall {
    CallId id;
    BackendServerId server;
    TimePoint sentAt;
    bool headReceived = false;
};

/// @brief State of one caller's request from its arrival to its answer.
struct ForwardRun {
    ForwardId id;
    ForwardRequest request;
    std::shared_ptr<const config::RouteTable> table; ///< Keeps `route` alive.
    const config::Route* route = nullptr;
    ServiceId service; ///< Drawn from the route's targets.
    ClientAccountId account;
    std::uint32_t priority = 0;
    std::optional<AvailabilityZoneId> homeZone; ///< Where the request will run and its results should be made.
    TimePoint acceptedAt;
    TimePoint firstAttemptAt; ///< When its caller first asked, as far as its time left tells.
    TimePoint deadline;
    std::vector<StageProgress> stages;
    std::vector<OpenCall> calls;
    std::vector<BackendServerId> triedServers; ///< Servers that the request was sent to.
    std::uint32_t possibleExecutions = 0; ///< Servers that may have run it.
    std::uint32_t unexecutedCalls = 0; ///< Calls that certainly did not run.
    std::uint32_t stageRestarts = 0; ///< Times that the stages were made again.
    bool retryBudgetCredited = false;
    bool mayHaveRun = false;
    EventSplitter eventSplitter;
    std::optional<std::uint64_t> lastEventId; ///< Last event that the caller was given.
    TimePoint lastDataAt;
    bool headSent = false;

    bool idempotent() const { return route->repeat == config::Repeat::Freely || (route->streams && route->resumable); }
    bool allStagesDone() const;
    /// @brief Stages whose results the request itself takes: those that no other stage needs.
    std::vector<std::string> inputs() const;
    OpenCall* findCall(CallId call);
    Duration remainingTime(TimePoint now) const { return deadline - now; }
};

} // namespace foxtailwheel::serving
