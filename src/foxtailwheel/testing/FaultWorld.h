#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/control/ClaimKeeper.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/store/Table.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace foxtailwheel::testing {

/// @brief Probabilities of the faults of one schedule.
struct FaultRates {
    double callLost = 0.1; ///< A call goes silent before or after it ran.
    double callBroken = 0.1; ///< A call breaks before, within or after it ran.
    double callRefused = 0.1; ///< The server refuses, or cannot be reached.
    double resultRepeated = 0.1; ///< A result comes twice, or once more to another run.
    double tableLost = 0.15; ///< The answer to a write is lost, before or after it took effect, or lands late.
    double tableDown = 0.1; ///< The table refuses.
    double instanceDies = 0.05; ///< An instance dies with all it was doing.
    double callerRepeats = 0.6; ///< The caller repeats a booking on some instance.
    double callerLeaves = 0.05; ///< The caller closes its connection at some time.
    bool extras = true; ///< Hedges and retries.
};

/// @brief What came of a schedule.
struct FaultCounts {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0; ///< Requests without a reply, on instances that live.
    std::uint64_t doubled = 0; ///< Effects that ran twice, or second replies.
    std::uint64_t crossed = 0; ///< Answers or tokens of another request, or out of order.
    std::uint64_t wrongNotRun = 0; ///< Told "not run" although the call ran.
    std::uint64_t effects = 0; ///< Bookings that ran.
    std::uint64_t attempts = 0; ///< Calls to backend servers, hedges and retries included.
    std::uint64_t firstAttempts = 0;

    bool clean() const { return lost + doubled + crossed + wrongNotRun == 0; }
    void add(const FaultCounts& other);
};

/// @brief Several instances' decision libraries over one fake table and fake backend servers, at injected time, with
/// events in random order. One seed is one schedule of faults.
class FaultWorld {
public:
    FaultWorld(std::uint64_t seed, FaultRates rates);
    ~FaultWorld();
    FaultWorld(const FaultWorld&) = delete;
    FaultWorld& operator=(const FaultWorld&) = delete;

    /// @brief Submits `requests` requests and runs until nothing is left to happen.
    FaultCounts run(std::size_t requests);

private:
    class FakeTable;
    struct FakeInstance;
    struct Asked;
    struct Event {
        TimePoint due;
        std::size_t instance;
        std::function<void()> work;
    };

    void later(std::size_t instance, Duration delay, std::function<void()> work);
    bool step();
    void submit(std::size_t number, bool isRepeat);
    void leave(std::size_t instance, RunId run);
    void perform(std::size_t instance, serving::Actions actions);
    void call(std::size_t instance, const serving::SendCall& send);
    void stream(std::size_t instance, const serving::SendCall& send, bool breaks);
    void answer(std::size_t instance, const serving::SendCall& send);
    void failCall(std::size_t instance, const pipeline::AttemptId& id, pipeline::CallFailure failure);
    void execute(const serving::SendCall& send);
    void onTokens(const pipeline::EmitTokens& tokens);
    void onReply(const serving::Reply& reply);
    void checkAnswer(const Asked& asked, const pipeline::Payload& answer);
    Duration someTime(double mean);

    Random m_random;
    FaultRates m_rates;
    ManualClock m_clock;
    std::shared_ptr<const config::Declarations> m_declared;
    std::vector<Event> m_events;
    std::unique_ptr<FakeTable> m_table;
    std::vector<std::unique_ptr<FakeInstance>> m_instances;
    std::map<RunId, Asked> m_asked;
    std::map<std::string, std::uint64_t> m_executions; ///< By the key told to the backend server.
    std::set<RunId> m_executedRuns;
    std::set<RunId> m_toldNotRun;
    std::set<pipeline::AttemptId> m_stopped;
    FaultCounts m_counts;
};

} // namespace foxtailwheel::testing
