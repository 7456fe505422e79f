#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/control/ClaimStore.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailwheel::testing {

/// @brief Probability of each fault in one schedule.
struct FaultRates {
    double callTimeout = 0.1; ///< A call times out; the server may have executed it or not.
    double callFailure = 0.1; ///< A call loses its connection or fails before, during or after execution.
    double callRefused = 0.1; ///< The server refuses the call or is unreachable.
    double duplicateResult = 0.1; ///< A result arrives twice, or a copy of it arrives for another attempt or run.
    double tableResponseLost
        = 0.15; ///< The response to a write is lost; the write is applied, applied late, or not applied.
    double tableUnavailable = 0.1; ///< The table is unavailable.
    double instanceCrash = 0.05; ///< An instance crashes and loses its requests in progress.
    double callerRetry = 0.6; ///< The caller retries a booking on a random instance.
    double callerDisconnect = 0.05; ///< The caller disconnects after a random delay.
    bool retriesAndHedges = true; ///< Whether hedges and retries are enabled.
};

/// @brief Outcome counts of one or more schedules.
struct OutcomeCounts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t unanswered = 0; ///< Requests without a reply on instances that did not crash.
    std::uint64_t duplicates = 0; ///< Bookings executed more than once, and second replies to a request.
    std::uint64_t mismatches = 0; ///< Answers or tokens that belong to another request or are out of order.
    std::uint64_t falseNotRun = 0; ///< Requests reported as not run although a backend server executed them.
    std::uint64_t executedBookings = 0; ///< Distinct bookings that were executed.
    std::uint64_t attempts = 0; ///< Calls to backend servers, hedges and retries included.
    std::uint64_t firstAttempts = 0;

    bool hasNoViolations() const { return unanswered + duplicates + mismatches + falseNotRun == 0; }
    void add(const OutcomeCounts& other);
};

/// @brief Simulates the dispatchers of several instances with a fake table and fake backend servers, on a manual clock
/// and with randomly reordered events. A seed determines the schedule of faults.
class FaultSimulation {
public:
    FaultSimulation(std::uint64_t seed, FaultRates rates);
    ~FaultSimulation();
    FaultSimulation(const FaultSimulation&) = delete;
    FaultSimulation& operator=(const FaultSimulation&) = delete;

    /// @brief Submits `requests` requests and runs until no events remain.
    OutcomeCounts run(std::size_t requests);

private:
    class FakeTable;
    struct FakeInstance;
    struct RequestState;
    struct Event {
        TimePoint due;
        std::size_t instance;
        std::function<void()> action;
    };

    void schedule(std::size_t instance, Duration delay, std::function<void()> action);
    bool runNextEvent();
    void submit(std::size_t number, bool isRetry);
    void disconnectCaller(std::size_t instance, RunId run);
    void handleActions(std::size_t instance, serving::Actions actions);
    void startCall(std::size_t instance, const serving::SendCall& send);
    void deliverStream(std::size_t instance, const serving::SendCall& send, bool fails);
    void deliverAnswer(std::size_t instance, const serving::SendCall& send);
    void failCall(std::size_t instance, const pipeline::AttemptId& id, pipeline::CallFailure failure);
    void recordExecution(const serving::SendCall& send);
    void onTokens(const pipeline::EmitTokens& tokens);
    void onReply(const serving::Reply& reply);
    void checkAnswer(const RequestState& state, const pipeline::Payload& answer);
    Duration randomDelay(double mean);

    Random m_random;
    FaultRates m_rates;
    ManualClock m_clock;
    std::shared_ptr<const config::Declarations> m_declarations;
    std::vector<Event> m_events;
    std::unique_ptr<FakeTable> m_table;
    std::vector<std::unique_ptr<FakeInstance>> m_instances;
    std::map<RunId, RequestState> m_requests;
    std::map<std::string, std::uint64_t> m_executions; ///< By the idempotency key that was sent to the backend server.
    std::set<RunId> m_executedRuns;
    std::set<RunId> m_reportedNotRun;
    std::set<pipeline::AttemptId> m_cancelledCalls;
    OutcomeCounts m_counts;
};

} // namespace foxtailwheel::testing
