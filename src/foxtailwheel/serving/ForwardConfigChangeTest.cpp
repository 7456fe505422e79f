#include "foxtailwheel/base/Random.h"
#include "foxtailwheel/serving/Forwarder.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <tuple>
#include <utility>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
constexpr std::size_t instanceCount = 3;

InstanceId instanceId(std::size_t n)
{
    return InstanceId("i" + std::to_string(n));
}

/// A table with one route whose stages have other numbers, and in part other services, in each version.
std::shared_ptr<const config::RouteTable> makeTable(std::uint64_t version)
{
    auto table = std::make_shared<config::RouteTable>();
    table->version = version;
    config::Route route;
    route.name = "plan";
    route.host = "h";
    route.prefix = "/plan/";
    route.retryMode = config::RetryMode::Allowed;
    route.streaming = route.resumable = route.isPublic = true;
    route.timeout = 60s;
    route.latencyTarget = 1s;
    route.maxCallsPerRequest = 3;
    route.targets = { { ServiceId("model"), 1 } };
    const ServiceId portal("portal");
    const ServiceId bill("bill");
    const ServiceId extra("extra");
    if (version == 1)
        route.stages = { { portal, {}, 1000 }, { bill, { 0 }, 100 } };
    else
        route.stages = { { bill, { 1, 2 }, 100 }, { portal, {}, 1000 }, { extra, { 1 }, 10 } };
    table->routes = { route };
    const config::BatchLimits batch { 1, 2, 10, 20ms, 1ms, 4s, 0 };
    table->services
        = { { ServiceId("model"), std::nullopt, 64, 1000 }, { portal, batch, 0, 0 }, { bill, batch, 0, 0 } };
    if (version > 1)
        table->services.push_back({ extra, batch, 0, 0 });
    table->buildIndex();
    return table;
}

/// Instances that change to the second version at different times, with servers that remember whose piece each result
/// is. Checks the inputs of all pieces and requests.
class ChangingCluster {
public:
    explicit ChangingCluster(std::uint64_t seed)
        : m_random(seed)
    {
        std::uint16_t port = 9000;
        std::vector<AnnouncedServer> servers;
        for (const std::string service : { "model", "portal", "bill", "extra" }) {
            for (int i = 0; i < 2; ++i)
                servers.push_back(
                    { { BackendServerId(service + std::to_string(i)), "127.0.0.1", ++port, AvailabilityZoneId("a") },
                        ServiceId(service), false, 64 });
        }
        for (std::size_t i = 0; i < instanceCount; ++i) {
            ForwarderOptions options;
            options.pools.self = instanceId(i);
            options.pools.zone = AvailabilityZoneId("a");
            options.pools.seed = seed + i;
            options.admissionControl = false;
            options.retryBudgetReserve = 1000;
            options.firstGroupId = 1000 * (i + 1);
            m_instances.push_back(Forwarder::create(options));
            act(i, [&](auto& out) { m_instances[i]->configure(makeTable(1), m_now, out); });
            act(i, [&](auto& out) { m_instances[i]->setServers(servers, m_now, out); });
        }
        changeOwners();
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
        for (int i = 0; i < 2000 && !(m_messages.empty() && m_batches.empty() && m_calls.empty()); ++i) {
            m_now += 5ms;
            deliver();
            endBatch();
            endCall(true);
            advance();
        }
    }

    std::size_t answered() const { return m_answered; }

private:
    struct Request {
        std::vector<config::RouteStage> stages;
        std::vector<std::uint32_t> counts;
    };

    using PieceOrigin = std::tuple<std::string, StageIndex, std::uint32_t>;

    template <class Item> Item take(std::vector<std::pair<std::size_t, Item>>& items, std::size_t& instance)
    {
        const auto at = items.begin() + static_cast<std::ptrdiff_t>(m_random.below(items.size()));
        instance = at->first;
        auto item = std::move(at->second);
        items.erase(at);
        return item;
    }

    template <class Function> void act(std::size_t instance, Function function)
    {
        ForwardActions actions;
        function(actions);
        for (auto& it : actions) {
            if (auto* batch = std::get_if<SendBatch>(&it)) {
                checkBatch(*batch);
                m_batches.emplace_back(instance, std::move(*batch));
            } else if (auto* call = std::get_if<SendUpstreamRequest>(&it)) {
                checkCall(*call);
                m_calls.emplace_back(instance, std::move(*call));
            } else if (auto* message = std::get_if<SendToInstance>(&it)) {
                m_messages.emplace_back(instance, std::move(*message));
            } else if (const auto* end = std::get_if<EndResponse>(&it)) {
                m_answered += end->outcome == ForwardOutcome::Answered ? 1 : 0;
            } else if (const auto* cancel = std::get_if<CancelUpstreamRequest>(&it)) {
                std::erase_if(m_calls,
                    [&](const auto& sent) { return sent.first == instance && sent.second.call == cancel->call; });
            }
        }
    }

    /// Fails unless `inputs` are the results of all pieces of `stages`, each once.
    void checkInputs(const std::string& attempt, const std::vector<std::string>& inputs,
        const std::vector<StageIndex>& stages, const std::string& reader)
    {
        const auto& request = m_requests.at(attempt);
        std::vector<PieceOrigin> needed;
        for (const auto stage : stages) {
            for (std::uint32_t i = 0; i < request.counts[stage]; ++i)
                needed.emplace_back(attempt, stage, i);
        }
        std::vector<PieceOrigin> given;
        for (const auto& it : inputs)
            given.push_back(m_origins.at(it));
        std::sort(needed.begin(), needed.end());
        std::sort(given.begin(), given.end());
        cr_assert(given == needed, "%s of %s has %zu inputs, %zu needed", reader.c_str(), attempt.c_str(), given.size(),
            needed.size());
    }

    void checkBatch(const SendBatch& batch)
    {
        for (const auto& it : batch.pieces) {
            const auto& request = m_requests.at(it.request);
            const auto& stage = request.stages.at(it.stage);
            cr_assert_eq(batch.service, stage.service);
            cr_assert_lt(it.index, request.counts[it.stage]);
            cr_assert_eq(it.key.empty(), !stage.dependsOn.empty());
            cr_assert(it.key.empty() || it.key == "key of " + it.request);
            checkInputs(it.request, it.inputs, stage.dependsOn, "a piece");
        }
    }

    void checkCall(const SendUpstreamRequest& call)
    {
        const auto& stages = m_requests.at(call.attemptId).stages;
        std::vector<StageIndex> last;
        for (StageIndex i = 0; i < stages.size(); ++i) {
            if (std::none_of(stages.begin(), stages.end(), [i](const config::RouteStage& it) {
                    return std::find(it.dependsOn.begin(), it.dependsOn.end(), i) != it.dependsOn.end();
                }))
                last.push_back(i);
        }
        checkInputs(call.attemptId, call.inputs, last, "the request");
    }

    void step()
    {
        m_now += 1ms;
        const auto action = m_random.below(8);
        if (action == 0)
            submit();
        else if (action <= 2)
            deliver();
        else if (action <= 4)
            endBatch();
        else if (action == 5)
            endCall(m_random.chance(0.5));
        else if (action == 6)
            advance();
        else
            disturb();
    }

    void submit()
    {
        const auto i = m_random.below(instanceCount);
        ForwardRequest request;
        request.attemptId = "r" + std::to_string(m_requests.size());
        request.host = "h";
        request.message = { "POST", "/plan/x", {}, "body" };
        request.pieceKey = "key of " + request.attemptId;
        const auto& stages = m_instances[i]->table()->routes.at(0).stages;
        for (std::size_t n = 0; n < stages.size(); ++n)
            request.pieceCounts.push_back(1 + static_cast<std::uint32_t>(m_random.below(3)));
        m_requests[request.attemptId] = { stages, request.pieceCounts };
        const auto id = m_instances[i]->allocateRequestId();
        act(i, [&](auto& out) { m_instances[i]->submit(id, std::move(request), m_now, out); });
    }

    void deliver()
    {
        if (m_messages.empty())
            return;
        std::size_t from = 0;
        const auto message = take(m_messages, from);
        const auto to = static_cast<std::size_t>(std::stoi(message.to.value().substr(1)));
        if (!m_random.chance(0.02))
            act(to, [&](auto& out) { m_instances[to]->onPeerMessage(instanceId(from), message.message, m_now, out); });
    }

    void endBatch()
    {
        if (m_batches.empty())
            return;
        std::size_t i = 0;
        const auto batch = take(m_batches, i);
        std::vector<PieceResult> results;
        for (const auto& it : batch.pieces) {
            const auto handle = "h" + std::to_string(m_origins.size());
            m_origins[handle] = { it.request, it.stage, it.index };
            if (m_random.chance(0.03))
                results.emplace_back(m_random.chance(0.5) ? PieceFailure::NoCapacity : PieceFailure::InputMissing);
            else
                results.emplace_back(ResultHandle { handle, batch.server, batch.service });
        }
        const auto outcome = m_random.chance(0.05) ? BatchOutcome::Broken : BatchOutcome::Answered;
        act(i, [&](auto& out) { m_instances[i]->onBatchEnd(batch.call, outcome, results, m_now, out); });
    }

    void endCall(bool succeeds)
    {
        if (m_calls.empty())
            return;
        std::size_t i = 0;
        const auto call = take(m_calls, i).call;
        auto& instance = *m_instances[i];
        if (!succeeds && m_random.chance(0.5)) {
            const auto outcome = m_random.chance(0.5) ? ForwardCallOutcome::InputMissing : ForwardCallOutcome::Refused;
            act(i, [&](auto& out) { instance.onCallEnd(call, outcome, {}, m_now, out); });
            return;
        }
        act(i, [&](auto& out) { instance.onResponseHead(call, { 200, {}, {} }, m_now, out); });
        act(i, [&](auto& out) {
            instance.onResponseData(call, "id: " + std::to_string(++m_events) + "\ndata: x\n\n", m_now, out);
        });
        const auto outcome = succeeds ? ForwardCallOutcome::Complete : ForwardCallOutcome::Broken;
        act(i, [&](auto& out) { instance.onCallEnd(call, outcome, { 200, {}, {} }, m_now, out); });
    }

    void advance()
    {
        m_now += std::chrono::milliseconds(m_random.below(60));
        for (std::size_t i = 0; i < instanceCount; ++i) {
            if (m_instances[i]->nextTimerAt() <= m_now)
                act(i, [&](auto& out) { m_instances[i]->onTimer(m_now, out); });
        }
    }

    void disturb()
    {
        const auto i = m_random.below(instanceCount);
        const auto other = (i + 1 + m_random.below(instanceCount - 1)) % instanceCount;
        const auto kind = m_random.below(20);
        if (kind == 0)
            act(i, [&](auto& out) { m_instances[i]->configure(makeTable(2), m_now, out); });
        else if (kind == 1)
            changeOwners();
        else if (kind == 2)
            act(i, [&](auto& out) { m_instances[i]->onPeerConnectionLost(instanceId(other), m_now, out); });
        else if (kind == 3)
            act(i, [&](auto& out) { m_instances[i]->onPeerUnreachable(instanceId(other), m_now, out); });
    }

    /// Other instances own the services, as each instance learns at another time.
    void changeOwners()
    {
        std::vector<InstanceId> live;
        for (std::size_t i = 0; i < instanceCount; ++i)
            live.push_back(instanceId(i));
        for (std::size_t i = 0; i < instanceCount; ++i) {
            auto owners = live;
            if (m_random.chance(0.5))
                owners.erase(owners.begin() + static_cast<std::ptrdiff_t>(m_random.below(owners.size())));
            act(i, [&](auto& out) { m_instances[i]->setMembers(live, owners, {}, m_now, out); });
        }
    }

    Random m_random;
    TimePoint m_now = start;
    std::vector<std::unique_ptr<Forwarder>> m_instances;
    std::map<std::string, Request>
        m_requests; ///< By attempt, with the stages of the version that it was accepted with.
    std::map<std::string, PieceOrigin> m_origins; ///< By handle.
    std::vector<std::pair<std::size_t, SendToInstance>> m_messages;
    std::vector<std::pair<std::size_t, SendBatch>> m_batches;
    std::vector<std::pair<std::size_t, SendUpstreamRequest>> m_calls;
    std::uint64_t m_events = 0;
    std::size_t m_answered = 0;
};

} // namespace

// Guards against pieces that are given no inputs, or those of another stage, while the list of stages changes: with
// owners that have the other version, handed-over queues, lost messages, retries, resumed streams and stages that run
// again.
Test(ForwardConfigChange, inputsAreThoseOfTheVersionThatARequestWasAcceptedWith)
{
    constexpr std::uint64_t seeds = 40;
    std::size_t answered = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        ChangingCluster cluster(seed);
        cluster.run(2000);
        answered += cluster.answered();
    }
    cr_assert_gt(answered, 50 * seeds, "only %zu requests were answered", answered);
}
