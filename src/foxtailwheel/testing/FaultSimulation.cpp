#include "FaultSimulation.h"

#include "TestDeclarations.h"

#include <algorithm>

namespace foxtailwheel::testing {

using namespace std::chrono_literals;
using pipeline::CallFailure;
using pipeline::OutcomeKind;

namespace {

    constexpr std::size_t instanceCount = 3;
    constexpr std::size_t noInstance = instanceCount; ///< Owner of events that run even when instances have crashed.
    constexpr std::uint64_t tokenCount = 6;
    constexpr std::size_t maxEvents = 20000;

    std::string generatedToken(const std::string& request, std::uint64_t i)
    {
        return request + "#" + std::to_string(i) + ";";
    }

    std::string generatedText(const std::string& request)
    {
        std::string text;
        for (std::uint64_t i = 0; i < tokenCount; ++i)
            text += generatedToken(request, i);
        return text;
    }

} // namespace

void OutcomeCounts::add(const OutcomeCounts& other)
{
    requests += other.requests;
    answered += other.answered;
    notRun += other.notRun;
    unknown += other.unknown;
    unanswered += other.unanswered;
    duplicates += other.duplicates;
    mismatches += other.mismatches;
    falseNotRun += other.falseNotRun;
    executedBookings += other.executedBookings;
    attempts += other.attempts;
    firstAttempts += other.firstAttempts;
}

struct FaultSimulation::RequestState {
    std::size_t number = 0;
    std::size_t instance = 0;
    std::string body;
    bool booking = false;
    std::uint64_t replies = 0;
    std::uint64_t receivedTokens = 0;
    std::string text;
};

struct FaultSimulation::FakeInstance {
    std::unique_ptr<serving::Dispatcher> dispatcher;
    std::unique_ptr<control::ClaimStore> claims;
    bool alive = true;
};

/// In-memory table with injected faults: unavailability, responses lost before or after the write is applied, and
/// writes that are applied after the deadline.
class FaultSimulation::FakeTable final : public store::Table {
public:
    explicit FakeTable(FaultSimulation& simulation)
        : m_simulation(simulation)
    {
    }

    void transact(
        store::Transaction transaction, TimePoint deadline, std::function<void(store::TransactResult)> done) override;
    void read(std::string key, TimePoint deadline, std::function<void(store::ReadResult)> done) override;
    void scan(std::string, std::string, std::size_t, TimePoint, std::function<void(store::ReadResult)> done) override
    {
        done({});
    }

private:
    store::TransactResult apply(const store::Transaction& transaction);

    FaultSimulation& m_simulation;
    std::map<std::string, store::Row> m_rows;
};

store::TransactResult FaultSimulation::FakeTable::apply(const store::Transaction& transaction)
{
    store::TransactResult result { store::TransactOutcome::Applied, {} };
    for (const auto& it : transaction.conditions) {
        const auto found = m_rows.find(it.key);
        const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
        if (version == it.version.value_or(0))
            continue;
        result.outcome = store::TransactOutcome::ConditionFailed;
        if (found != m_rows.end())
            result.conflicts.push_back(found->second);
    }
    if (result.outcome != store::TransactOutcome::Applied)
        return result;
    for (const auto& it : transaction.writes) {
        if (!it.value) {
            m_rows.erase(it.key);
            continue;
        }
        auto& row = m_rows[it.key];
        row = { it.key, *it.value, row.version + 1 };
    }
    return result;
}

void FaultSimulation::FakeTable::transact(
    store::Transaction transaction, TimePoint deadline, std::function<void(store::TransactResult)> done)
{
    auto& random = m_simulation.m_random;
    const auto timeout = std::max<Duration>(deadline - m_simulation.m_clock.now(), 1ms);
    if (random.chance(m_simulation.m_rates.tableUnavailable)) {
        m_simulation.schedule(noInstance, m_simulation.randomDelay(0.005), [done] { done({}); });
        return;
    }
    if (random.chance(m_simulation.m_rates.tableResponseLost)) {
        const bool takesEffect = random.chance(0.6);
        const auto delay
            = random.chance(0.5) ? m_simulation.randomDelay(0.005) : timeout + m_simulation.randomDelay(0.5);
        if (takesEffect)
            m_simulation.schedule(noInstance, delay, [this, transaction] { apply(transaction); });
        m_simulation.schedule(noInstance, timeout, [done] { done({ store::TransactOutcome::Ambiguous, {} }); });
        return;
    }
    m_simulation.schedule(
        noInstance, m_simulation.randomDelay(0.005), [this, transaction, done] { done(apply(transaction)); });
}

void FaultSimulation::FakeTable::read(std::string key, TimePoint, std::function<void(store::ReadResult)> done)
{
    const bool succeeds = !m_simulation.m_random.chance(m_simulation.m_rates.tableUnavailable);
    m_simulation.schedule(noInstance, m_simulation.randomDelay(0.005), [this, key, done, succeeds] {
        store::ReadResult result { succeeds, {} };
        const auto it = m_rows.find(key);
        if (succeeds && it != m_rows.end())
            result.rows.push_back(it->second);
        done(std::move(result));
    });
}

FaultSimulation::FaultSimulation(std::uint64_t seed, FaultRates rates)
    : m_random(seed)
    , m_rates(rates)
    , m_declarations(smallDeployment(3))
    , m_table(std::make_unique<FakeTable>(*this))
{
    m_clock.set(TimePoint(1h));
    for (std::size_t i = 0; i < instanceCount; ++i) {
        auto instance = std::make_unique<FakeInstance>();
        serving::DispatcherOptions options;
        options.pools.self = InstanceId("instance-" + std::to_string(i));
        options.pools.zone = AvailabilityZoneId("a");
        options.pools.seed = seed;
        options.shards = 2;
        if (!rates.retriesAndHedges)
            options.retryBudgetFraction = 0;
        instance->dispatcher = serving::makeDispatcher(options);
        instance->dispatcher->configure(ConfigVersion(1), m_declarations);
        instance->claims = control::ClaimStore::create(*m_table, m_clock, options.pools.self, m_random.next(),
            [this, i](Duration delay, std::function<void()> action) { schedule(i, delay, std::move(action)); });
        m_instances.push_back(std::move(instance));
    }
}

FaultSimulation::~FaultSimulation() = default;

Duration FaultSimulation::randomDelay(double mean)
{
    return fromSeconds(m_random.exponential(mean));
}

void FaultSimulation::schedule(std::size_t instance, Duration delay, std::function<void()> action)
{
    m_events.push_back({ m_clock.now() + delay, instance, std::move(action) });
}

bool FaultSimulation::runNextEvent()
{
    if (m_events.empty())
        return false;
    // Runs up to one event in four out of order, by at most 20 ms, to simulate delayed threads.
    const auto earlier = [](const Event& a, const Event& b) { return a.due < b.due; };
    auto it = std::min_element(m_events.begin(), m_events.end(), earlier);
    if (m_random.chance(0.25)) {
        const auto horizon = it->due + 20ms;
        const auto other = m_events.begin() + static_cast<std::ptrdiff_t>(m_random.below(m_events.size()));
        if (other->due <= horizon)
            it = other;
    }
    auto event = std::move(*it);
    m_events.erase(it);
    if (event.due > m_clock.now())
        m_clock.set(event.due);
    if (event.instance >= instanceCount || m_instances[event.instance]->alive)
        event.action();
    return true;
}

OutcomeCounts FaultSimulation::run(std::size_t requests)
{
    for (std::size_t i = 0; i < requests; ++i)
        schedule(noInstance, randomDelay(0.1), [this, i] { submit(i, false); });
    for (std::size_t i = 0; i < instanceCount; ++i) {
        if (i > 0 && m_random.chance(m_rates.instanceCrash))
            schedule(noInstance, randomDelay(0.3), [this, i] { m_instances[i]->alive = false; });
    }
    for (std::size_t events = 0; events < maxEvents && runNextEvent(); ++events) { }
    for (const auto& it : m_requests) {
        if (it.second.replies == 0 && m_instances[it.second.instance]->alive)
            ++m_counts.unanswered;
    }
    m_counts.executedBookings = m_executions.size();
    for (const auto& it : m_executions)
        m_counts.duplicates += it.second > 1 ? 1 : 0;
    for (const auto& it : m_reportedNotRun)
        m_counts.falseNotRun += m_executedRuns.contains(it) ? 1 : 0;
    return m_counts;
}

void FaultSimulation::submit(std::size_t number, bool isRetry)
{
    std::size_t instance = m_random.below(instanceCount);
    if (!m_instances[instance]->alive)
        instance = 0;
    RequestState state;
    state.number = number;
    state.instance = instance;
    state.booking = number % 2 == 0;
    state.body = "request-" + std::to_string(number);
    serving::SubmitRequest request;
    request.pipeline = PipelineId(state.booking ? "book" : "answer");
    request.account = ClientAccountId(number % 3 == 0 ? "coop" : "shop");
    request.body = pipeline::makePayload(state.body);
    request.stream = true;
    if (state.booking)
        request.key = IdempotencyKey("key-" + std::to_string(number));
    if (state.booking && !isRetry && m_random.chance(m_rates.callerRetry))
        schedule(noInstance, randomDelay(1), [this, number] { submit(number, true); });
    ++m_counts.requests;
    auto& dispatcher = *m_instances[instance]->dispatcher;
    const auto id = dispatcher.allocateRunId();
    m_requests.emplace(id, std::move(state));
    if (m_random.chance(m_rates.callerDisconnect))
        schedule(instance, randomDelay(0.02), [this, instance, id] { disconnectCaller(instance, id); });
    serving::Actions actions;
    dispatcher.submit(id, std::move(request), m_clock.now(), actions);
    handleActions(instance, std::move(actions));
}

void FaultSimulation::disconnectCaller(std::size_t instance, RunId run)
{
    serving::Actions followUp;
    m_instances[instance]->dispatcher->onCallerDisconnected(run, m_clock.now(), followUp);
    handleActions(instance, std::move(followUp));
}

void FaultSimulation::handleActions(std::size_t instance, serving::Actions actions)
{
    auto& fake = *m_instances[instance];
    for (auto& action : actions) {
        if (const auto* send = std::get_if<serving::SendCall>(&action)) {
            startCall(instance, *send);
        } else if (const auto* stop = std::get_if<serving::StopCall>(&action)) {
            m_cancelledCalls.insert(stop->id);
        } else if (const auto* timer = std::get_if<pipeline::SetTimer>(&action)) {
            schedule(instance, timer->at - m_clock.now(), [this, instance, id = timer->id] {
                serving::Actions followUp;
                m_instances[instance]->dispatcher->onTimer(id, m_clock.now(), followUp);
                handleActions(instance, std::move(followUp));
            });
        } else if (const auto* claim = std::get_if<serving::AcquireClaim>(&action)) {
            fake.claims->acquire(
                *claim, [this, instance, run = claim->run, stage = claim->stage](const pipeline::ClaimResult& result) {
                    if (!m_instances[instance]->alive)
                        return;
                    serving::Actions followUp;
                    m_instances[instance]->dispatcher->onClaim(run, stage, result, m_clock.now(), followUp);
                    handleActions(instance, std::move(followUp));
                });
        } else if (const auto* completion = std::get_if<serving::CompleteClaim>(&action)) {
            fake.claims->complete(*completion);
        } else if (const auto* tokens = std::get_if<pipeline::EmitTokens>(&action)) {
            onTokens(*tokens);
        } else if (const auto* reply = std::get_if<serving::Reply>(&action)) {
            onReply(*reply);
        }
    }
}

void FaultSimulation::recordExecution(const serving::SendCall& send)
{
    if (send.idempotencyKey.empty())
        return;
    ++m_executions[send.idempotencyKey];
    m_executedRuns.insert(send.call.id.run);
}

void FaultSimulation::failCall(std::size_t instance, const pipeline::AttemptId& id, CallFailure failure)
{
    serving::Actions followUp;
    m_instances[instance]->dispatcher->onFailure(id, failure, m_clock.now(), followUp);
    handleActions(instance, std::move(followUp));
}

void FaultSimulation::startCall(std::size_t instance, const serving::SendCall& send)
{
    ++m_counts.attempts;
    m_counts.firstAttempts += send.call.isRetryOrHedge ? 0 : 1;
    const auto id = send.call.id;
    if (m_random.chance(m_rates.callRefused)) {
        const auto failure = m_random.chance(0.5) ? CallFailure::NotSent : CallFailure::Refused;
        schedule(instance, randomDelay(0.005), [this, instance, id, failure] { failCall(instance, id, failure); });
        return;
    }
    // The driver reports the first sent byte from its own thread, which may be after the call has completed.
    schedule(instance, randomDelay(0.003),
        [this, instance, id] { m_instances[instance]->dispatcher->onSent(id, m_clock.now()); });
    if (m_random.chance(m_rates.callTimeout)) {
        if (m_random.chance(0.5))
            schedule(noInstance, randomDelay(0.02), [this, send] { recordExecution(send); });
        // The driver reports a call without a response when its deadline expires.
        schedule(instance, send.call.responseDeadline - m_clock.now(),
            [this, instance, id] { failCall(instance, id, CallFailure::TimedOut); });
        return;
    }
    const bool fails = m_random.chance(m_rates.callFailure);
    if (send.call.stage->kind == config::ServiceKind::ModelEngine) {
        schedule(instance, randomDelay(0.01), [this, instance, send, fails] { deliverStream(instance, send, fails); });
        return;
    }
    if (fails) {
        if (m_random.chance(0.5))
            schedule(noInstance, randomDelay(0.01), [this, send] { recordExecution(send); });
        const auto failure = m_random.chance(0.5) ? CallFailure::ConnectionLost : CallFailure::ServerError;
        schedule(instance, randomDelay(0.02), [this, instance, id, failure] { failCall(instance, id, failure); });
        return;
    }
    schedule(noInstance, randomDelay(0.01), [this, instance, send] {
        recordExecution(send);
        schedule(instance, randomDelay(0.005), [this, instance, send] { deliverAnswer(instance, send); });
    });
}

void FaultSimulation::deliverAnswer(std::size_t instance, const serving::SendCall& send)
{
    auto& dispatcher = *m_instances[instance]->dispatcher;
    const auto body = pipeline::makePayload(*send.call.input.request + "@" + send.call.stage->service.value());
    serving::Actions followUp;
    dispatcher.onAnswer(send.call.id, body, m_clock.now(), followUp);
    handleActions(instance, std::move(followUp));
    if (!m_random.chance(m_rates.duplicateResult))
        return;
    auto unmatched = send.call.id;
    if (m_random.chance(0.5))
        unmatched.attempt = unmatched.attempt.next();
    else if (m_random.chance(0.5))
        unmatched.run = RunId(unmatched.run.value() + 1000);
    serving::Actions unmatchedActions;
    dispatcher.onAnswer(unmatched, body, m_clock.now(), unmatchedActions);
    handleActions(instance, std::move(unmatchedActions));
}

void FaultSimulation::deliverStream(std::size_t instance, const serving::SendCall& send, bool fails)
{
    auto& dispatcher = *m_instances[instance]->dispatcher;
    const auto id = send.call.id;
    const auto& request = *send.call.input.request;
    std::uint64_t from = send.call.resumeFrom;
    // Some engines resume one token early and send that token again.
    if (from > 0 && m_random.chance(0.3))
        --from;
    const auto until = fails ? from + m_random.below(tokenCount - from + 1) : tokenCount;
    // A stream that is about to fail may skip a token.
    if (fails && from < until && m_random.chance(0.1))
        ++from;
    while (from < until) {
        const auto n = std::min<std::uint64_t>(until - from, 1 + m_random.below(3));
        std::vector<std::string> tokens;
        for (std::uint64_t i = 0; i < n; ++i)
            tokens.push_back(generatedToken(request, from + i));
        serving::Actions followUp;
        dispatcher.onTokens(id, from, tokens, m_clock.now(), followUp);
        handleActions(instance, std::move(followUp));
        from += n;
    }
    // Sometimes the end of the stream is reported although tokens are missing.
    if (fails && !m_random.chance(0.3)) {
        failCall(instance, id, m_random.chance(0.5) ? CallFailure::ConnectionLost : CallFailure::Truncated);
        return;
    }
    serving::Actions followUp;
    dispatcher.onStreamEnd(id, tokenCount, m_clock.now(), followUp);
    handleActions(instance, std::move(followUp));
}

void FaultSimulation::onTokens(const pipeline::EmitTokens& tokens)
{
    auto& state = m_requests.at(tokens.run);
    if (tokens.offset != state.receivedTokens)
        ++m_counts.mismatches;
    for (const auto& it : tokens.tokens)
        state.text += it;
    state.receivedTokens += tokens.tokens.size();
}

void FaultSimulation::checkAnswer(const RequestState& state, const pipeline::Payload& answer)
{
    if (state.booking) {
        m_counts.mismatches += *answer == state.body + "@booking" ? 0 : 1;
        return;
    }
    const auto expected = generatedText(state.body);
    m_counts.mismatches += *answer == expected && state.text == expected ? 0 : 1;
}

void FaultSimulation::onReply(const serving::Reply& reply)
{
    auto& state = m_requests.at(reply.run);
    if (++state.replies > 1)
        ++m_counts.duplicates;
    switch (reply.outcome.kind) {
    case OutcomeKind::Answered:
        ++m_counts.answered;
        checkAnswer(state, reply.outcome.answer);
        return;
    case OutcomeKind::NotRun:
        ++m_counts.notRun;
        m_reportedNotRun.insert(reply.run);
        return;
    case OutcomeKind::Unknown:
        ++m_counts.unknown;
        return;
    }
}

} // namespace foxtailwheel::testing
