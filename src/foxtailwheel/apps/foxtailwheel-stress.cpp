#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/serving/Dispatcher.h"
#include "foxtailwheel/telemetry/Metrics.h"

#include <atomic>
#include <cstdio>
#include <deque>
#include <mutex>
#include <thread>

namespace {

using namespace foxtailwheel;
using namespace std::chrono_literals;

constexpr std::size_t threadCount = 4;
constexpr std::uint64_t runsPerThread = 4000;

std::shared_ptr<const config::Declarations> makeDeclarations()
{
    auto declarations = std::make_shared<config::Declarations>();
    declarations->zones = { { AvailabilityZoneId("a"), "r" } };
    config::Service service;
    service.id = ServiceId("encode");
    service.typicalTime = 10ms;
    service.concurrency = 8;
    for (int i = 0; i < 8; ++i)
        service.servers.push_back({ BackendServerId("encode-" + std::to_string(i)), "127.0.0.1",
            static_cast<std::uint16_t>(9000 + i), AvailabilityZoneId("a") });
    declarations->services.push_back(service);
    service.id = ServiceId("generate");
    service.dependsOn = { ServiceId("encode") };
    for (auto& it : service.servers)
        it.id = BackendServerId("generate-" + it.id.value());
    declarations->services.push_back(service);
    declarations->pipelines.push_back({ PipelineId("answer"), ServiceId("generate"), 2s, 0 });
    declarations->accounts.push_back({ ClientAccountId("a"), 1, 1e9, std::string(64, 'a') });
    declarations->accounts.push_back({ ClientAccountId("b"), 2, 0, std::string(64, 'b') });
    return declarations;
}

/// Calls one dispatcher from several threads; a call that one thread submitted may be completed by any other.
class StressTest {
public:
    StressTest() { m_dispatcher->configure(ConfigVersion(1), m_declarations); }

    int run();

private:
    void runThread(std::uint64_t seed);
    void submit(Random& random);
    void changeState(Random& random);
    void completeCall(Random& random);
    void handleActions(serving::Actions actions);
    TimePoint now() { return TimePoint(1h) + Duration(m_ticks++ * 1000); }

    std::shared_ptr<const config::Declarations> m_declarations = makeDeclarations();
    std::unique_ptr<serving::Dispatcher> m_dispatcher = serving::makeDispatcher({});
    std::unique_ptr<telemetry::Metrics> m_metrics = telemetry::Metrics::create();
    std::mutex m_mutex;
    std::deque<serving::SendCall> m_calls;
    std::atomic<std::int64_t> m_ticks { 0 };
    std::atomic<std::uint64_t> m_version { 1 };
    std::atomic<std::uint64_t> m_submitted { 0 };
    std::atomic<std::uint64_t> m_replied { 0 };
};

void StressTest::handleActions(serving::Actions actions)
{
    for (auto& it : actions) {
        if (auto* call = std::get_if<serving::SendCall>(&it)) {
            const std::lock_guard lock(m_mutex);
            m_calls.push_back(std::move(*call));
        } else if (const auto* reply = std::get_if<serving::Reply>(&it)) {
            ++m_replied;
            m_metrics->increment("replies", { { "outcome", std::string(toString(reply->outcome.kind)) } });
            m_metrics->observeDuration("waited", {}, reply->queueTime);
        }
    }
}

void StressTest::submit(Random& random)
{
    serving::SubmitRequest request;
    request.pipeline = PipelineId("answer");
    request.account = ClientAccountId(random.chance(0.5) ? "a" : "b");
    request.body = pipeline::makePayload("{}");
    serving::Actions actions;
    ++m_submitted;
    m_dispatcher->submit(m_dispatcher->allocateRunId(), std::move(request), now(), actions);
    handleActions(std::move(actions));
}

void StressTest::changeState(Random& random)
{
    switch (random.below(6)) {
    case 0:
        m_dispatcher->configure(ConfigVersion(++m_version), m_declarations);
        return;
    case 1:
        m_dispatcher->setLeavingServers({ BackendServerId("encode-" + std::to_string(random.below(8))) });
        return;
    case 2:
        m_dispatcher->onLoadReport(ServiceId("encode"), BackendServerId("encode-1"), { 3, 1, now() });
        return;
    case 3:
        m_dispatcher->setInstanceCount(1 + random.below(9));
        return;
    case 4:
        for (const auto& it : m_dispatcher->drainDemand(now()))
            m_dispatcher->setRateShare(it.account, it.perSecond, now());
        return;
    default:
        m_metrics->setGauge("runs", {}, static_cast<double>(m_dispatcher->status().runs));
        m_metrics->serialize();
        return;
    }
}

void StressTest::completeCall(Random& random)
{
    std::optional<serving::SendCall> call;
    {
        const std::lock_guard lock(m_mutex);
        if (m_calls.empty())
            return;
        call = std::move(m_calls.front());
        m_calls.pop_front();
    }
    serving::Actions actions;
    m_dispatcher->onSent(call->call.id, now());
    if (random.chance(0.1))
        m_dispatcher->onFailure(call->call.id, pipeline::CallFailure::ConnectionLost, now(), actions);
    else if (random.chance(0.05))
        m_dispatcher->onCallerDisconnected(call->call.id.run, now(), actions);
    else
        m_dispatcher->onAnswer(call->call.id, pipeline::makePayload("{}"), now(), actions);
    handleActions(std::move(actions));
}

void StressTest::runThread(std::uint64_t seed)
{
    Random random(seed);
    for (std::uint64_t i = 0; i < runsPerThread; ++i) {
        submit(random);
        for (int n = 0; n < 3; ++n)
            completeCall(random);
        if (random.chance(0.05))
            changeState(random);
    }
}

int StressTest::run()
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < threadCount; ++i)
        threads.emplace_back([this, i] { runThread(i + 1); });
    for (auto& it : threads)
        it.join();
    Random random(99);
    while (!m_calls.empty())
        completeCall(random);
    const bool allReplied = m_replied == m_submitted;
    std::printf("%lu runs submitted, %lu completed, %lu still open\n", m_submitted.load(), m_replied.load(),
        m_dispatcher->status().runs);
    return allReplied ? 0 : 1;
}

} // namespace

int main()
{
    return StressTest().run();
}
