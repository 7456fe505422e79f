#include "foxtailwheel/serving/Forwarder.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace foxtailwheel::serving;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start { 1h };

std::shared_ptr<config::RouteTable> table()
{
    auto out = std::make_shared<config::RouteTable>();
    out->version = 1;
    config::Route route;
    route.name = "plan";
    route.host = "h.example";
    route.prefix = "/plan/";
    route.timeout = 8s;
    route.latencyTarget = 1s;
    route.targets = { { ServiceId("model"), 1 } };
    out->routes = { route };
    out->services = { { ServiceId("model"), std::nullopt, 64, 100000 } };
    out->buildIndex();
    return out;
}

AnnouncedServer server(const std::string& id, const std::string& zone, bool leaving = false)
{
    static std::uint16_t port = 9000;
    return { { BackendServerId(id), "127.0.0.1", ++port, AvailabilityZoneId(zone) }, ServiceId("model"), leaving, 64 };
}

std::unique_ptr<Forwarder> makeForwarder(SchedulingMode scheduling)
{
    ForwarderOptions options;
    options.pools.self = InstanceId("i");
    options.pools.zone = AvailabilityZoneId("a");
    options.scheduling = scheduling;
    auto forwarder = Forwarder::create(options);
    ForwardActions out;
    forwarder->configure(table(), start, out);
    forwarder->setServers(
        { server("m1", "a"), server("m2", "a"), server("m3", "b"), server("m4", "a", true) }, start, out);
    forwarder->setDrainedZones({ AvailabilityZoneId("b") }, start, out);
    return forwarder;
}

ForwardRequest request(const std::string& path)
{
    ForwardRequest out;
    out.host = "h.example";
    out.message = { "POST", path, {}, {} };
    return out;
}

CandidateState stateOf(const PlacementExplanation& explanation, const std::string& id)
{
    const auto it = std::find_if(explanation.candidates.begin(), explanation.candidates.end(),
        [&](const auto& candidate) { return candidate.server == BackendServerId(id); });
    cr_assert(it != explanation.candidates.end());
    return it->state;
}

} // namespace

// An operator must see each server that gets no calls with its own reason, not just the servers that are left.
Test(ForwardExplain, eachServerHasItsReason)
{
    for (const auto mode : { SchedulingMode::Off, SchedulingMode::On }) {
        const auto forwarder = makeForwarder(mode);
        const auto explanation = forwarder->explainPlacement(request("/plan/x"), start);
        cr_assert_eq(explanation.route, "plan");
        cr_assert(explanation.admitted);
        cr_assert_eq(explanation.candidates.size(), 4);
        cr_assert(stateOf(explanation, "m1") == CandidateState::Usable);
        cr_assert(stateOf(explanation, "m3") == CandidateState::Drained);
        cr_assert(stateOf(explanation, "m4") == CandidateState::Leaving);
        cr_assert(explanation.candidates[0].state == CandidateState::Usable);
    }
}

// The explanation must not count as a call: nothing is sent, and the next explanation is the same.
Test(ForwardExplain, explainingChangesNothing)
{
    const auto forwarder = makeForwarder(SchedulingMode::On);
    const auto first = forwarder->explainPlacement(request("/plan/x"), start);
    const auto second = forwarder->explainPlacement(request("/plan/x"), start);
    double sum = 0;
    for (std::size_t i = 0; i < first.candidates.size(); ++i) {
        cr_assert_eq(first.candidates[i].ownCalls, 0);
        cr_assert_float_eq(first.candidates[i].probability, second.candidates[i].probability, 1e-9);
        sum += first.candidates[i].probability;
    }
    cr_assert_float_eq(sum, 1, 1e-9);
    cr_assert_eq(forwarder->status(start).activeRequests, 0);
    cr_assert_eq(forwarder->nextTimerAt(), TimePoint::max());
}

Test(ForwardExplain, requestWithoutRouteHasNoCandidates)
{
    const auto explanation = makeForwarder(SchedulingMode::On)->explainPlacement(request("/other/"), start);
    cr_assert(explanation.route.empty());
    cr_assert(explanation.candidates.empty());
}
