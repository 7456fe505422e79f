#pragma once

#include "foxtailwheel/serving/EventStream.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <optional>
#include <set>
#include <vector>

namespace foxtailwheel::serving {

/// @brief Progress of one stage of a request.
struct StageProgress {
    std::vector<std::optional<ResultHandle>> results; ///< One per piece.
    std::size_t missing = 0; ///< Pieces without a result.
    std::vector<PieceGroupId> groups; ///< Groups under which the pieces were requested; a repeated piece has its own.
    std::uint32_t retries = 0; ///< Pieces requested again after a failure.
    bool started = false;
    bool released = false; ///< The results were released at their producers.

    bool done() const { return started && missing == 0; }
};

/// @brief A call of a caller's request that is in progress.
struct OpenCall {
    CallId id;
    BackendServerId server;
    TimePoint sentAt;
    bool headReceived = false;
    bool eventReceived = false; ///< Of a stream, an event with fields.
};

/// @brief State of one caller's request until it is answered.
struct ForwardRun {
    ForwardId id;
    ForwardRequest request;
    std::shared_ptr<const config::RouteTable> table; ///< Keeps `route` alive.
    const config::Route* route = nullptr;
    ServiceId service; ///< Picked from the route's targets.
    ClientAccountId account;
    std::uint32_t priority = 0;
    std::optional<std::set<AvailabilityZoneId>> allowedZones; ///< Zones of the allowed regions; empty for all zones.
    std::optional<AvailabilityZoneId> homeZone; ///< Preferred zone for the request and its stage results.
    TimePoint acceptedAt;
    TimePoint firstAttemptAt; ///< Estimated time of the caller's first attempt.
    TimePoint deadline;
    std::vector<StageProgress> stages;
    std::vector<OpenCall> calls;
    std::vector<BackendServerId> triedServers; ///< Servers to which the request was sent.
    std::uint32_t possibleExecutions = 0; ///< Calls that may have run the request.
    std::uint32_t unexecutedCalls = 0; ///< Calls that definitely did not run the request.
    std::uint32_t stageRestarts = 0; ///< Times that the stages were run again for a missing result.
    bool retryBudgetCredited = false; ///< The first call was counted in the retry budget.
    bool awaitsRetryBudget = false; ///< The next call has not been charged to the retry budget yet.
    bool mayHaveRun = false;
    bool triesCrashingPart = false; ///< Its prompt has a part whose block has ended.
    EventSplitter eventSplitter;
    std::optional<std::uint64_t> lastEventId; ///< Last event that was forwarded to the caller.
    bool hasUnnumberedEvents = false; ///< Events without a number were forwarded, so no server can go on after them.
    TimePoint lastEventAt; ///< Time of the last event with fields, or of the head of the response.
    bool headSent = false;

    /// @brief Returns true if the request may be sent again after it may have run.
    bool idempotent() const
    {
        return route->retryMode == config::RetryMode::Allowed || (route->streaming && route->resumable);
    }
    /// @brief Returns true if all stages have their results.
    bool allStagesDone() const;
    /// @brief Returns the stages that read the results of a stage. Omitted stages, those without pieces, read none.
    std::vector<StageIndex> consumersOf(StageIndex stage) const;
    /// @brief Returns the handles of the request's own inputs: the results that no stage reads.
    std::vector<std::string> inputs() const;
    /// @brief Returns true if the producers may have discarded the request's own inputs.
    bool inputsReleased() const;
    OpenCall* findCall(CallId call);
    Duration remainingTime(TimePoint now) const { return deadline - now; }

private:
    /// Returns the stages whose results the request itself reads.
    std::vector<StageIndex> finalStages() const;
};

} // namespace foxtailwheel::serving
