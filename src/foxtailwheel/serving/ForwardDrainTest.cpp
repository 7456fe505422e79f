#include "foxtailwheel/serving/Forwarder.h"

#include <algorithm>
#include <array>
#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };
const std::set<AvailabilityZoneId> zoneB { AvailabilityZoneId("b") };

AnnouncedServer server(const std::string& id, const std::string& service, const std::string& zone)
{
    static std::uint16_t port = 9000;
    return { { BackendServerId(id), "127.0.0.1", ++port, AvailabilityZoneId(zone) }, ServiceId(service), false, 6 };
}

/// A service with a stage service; each has servers in the zones a and b.
struct DrainFixture {
    explicit DrainFixture(
        const std::set<std::string>& routeRegions = {}, const std::set<std::string>& accountRegions = {})
    {
        ForwarderOptions options;
        options.pools.self = InstanceId("i");
        options.pools.zone = AvailabilityZoneId("a");
        options.zoneRegions = { { AvailabilityZoneId("a"), "west" }, { AvailabilityZoneId("b"), "east" } };
        forwarder = Forwarder::create(options);
        auto table = std::make_shared<config::RouteTable>();
        table->version = 1;
        config::Route route;
        route.host = "h";
        route.prefix = "/";
        route.retryMode = config::RetryMode::Allowed;
        route.streaming = route.resumable = true;
        route.timeout = 8s;
        route.latencyTarget = 4s;
        route.prefixAffinity = true;
        route.allowedRegions = routeRegions;
        route.maxCallsPerRequest = 3;
        route.targets = { { ServiceId("model"), 1 } };
        route.stages = { { ServiceId("portal"), {}, 1000 } };
        table->routes = { route };
        table->needsCredentials = true;
        table->credentials = { { "key", { ClientAccountId("account"), std::nullopt, accountRegions } } };
        table->services = { { ServiceId("model"), std::nullopt, 64, 1000, {}, 5s, 2 },
            { ServiceId("portal"), config::BatchLimits { 1, 2, 10, 200ms, 17ms, 4s, 0 }, 0, 0 } };
        table->buildIndex();
        configured = table;
        act([&](auto& out) { forwarder->configure(table, start, out); });
        forwarder->confirmCredentials(1, start);
        setServers({ server("m1", "model", "a"), server("m2", "model", "b"), server("p1", "portal", "a"),
            server("p2", "portal", "b") });
    }

    void setServers(const std::vector<AnnouncedServer>& servers)
    {
        act([&](auto& out) { forwarder->setServers(servers, start, out); });
    }

    /// Sets the calls per second that cold servers can handle.
    void setColdLimit(double perSecond)
    {
        configured = std::make_shared<config::RouteTable>(*configured);
        ++configured->version;
        configured->services[0].coldCallsPerSecond = perSecond;
        act([&](auto& out) { forwarder->configure(configured, start, out); });
    }

    void drain(const std::set<AvailabilityZoneId>& zones, TimePoint now = start)
    {
        act([&](auto& out) { forwarder->setDrainedZones(zones, now, out); });
    }

    void submit(TimePoint now, std::uint32_t pieces = 0, std::uint64_t prompt = 0)
    {
        ForwardRequest request;
        request.attemptId = "r" + std::to_string(++count);
        request.host = "h";
        request.message = { "POST", "/", {}, {} };
        request.credential = "key";
        request.pieceCounts = { pieces };
        request.prompt = { { promptPartIdOf(prompt), 10 }, { promptPartIdOf(count), 1 } };
        forwarder->confirmCredentials(configured->version, now);
        const auto id = forwarder->allocateRequestId();
        act([&](auto& out) { forwarder->submit(id, std::move(request), now, out); });
    }

    void runTimers(TimePoint until)
    {
        while (forwarder->nextTimerAt() <= until) {
            const auto at = forwarder->nextTimerAt();
            act([&](auto& out) { forwarder->onTimer(at, out); });
        }
    }

    void act(const std::function<void(ForwardActions&)>& work)
    {
        ForwardActions actions;
        work(actions);
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendUpstreamRequest>(&it))
                sent.push_back(*send);
            else if (auto* batch = std::get_if<SendBatch>(&it))
                batches.push_back(*batch);
            else if (auto* reply = std::get_if<SendResponse>(&it))
                replies.push_back(*reply);
        }
    }

    std::size_t countSentTo(const std::string& zone) const
    {
        return static_cast<std::size_t>(std::count_if(
            sent.begin(), sent.end(), [&](const auto& it) { return it.server.zone == AvailabilityZoneId(zone); }));
    }

    std::unique_ptr<Forwarder> forwarder;
    std::shared_ptr<config::RouteTable> configured;
    std::size_t count = 0;
    std::vector<SendUpstreamRequest> sent;
    std::vector<SendBatch> batches;
    std::vector<SendResponse> replies;
};

} // namespace

// Fails if a request, a hedge or a batch goes to a server of a drained zone.
Test(ForwardDrain, drainedZoneGetsNoCalls)
{
    DrainFixture fixture;
    fixture.drain(zoneB);
    for (int i = 0; i < 20; ++i)
        fixture.submit(start, i % 2 == 0 ? 4 : 0, static_cast<std::uint64_t>(i));
    fixture.runTimers(start + 2s);
    cr_assert_eq(fixture.sent.size(), 10);
    cr_assert_eq(fixture.countSentTo("b"), 0);
    cr_assert_geq(fixture.batches.size(), 1);
    for (const auto& it : fixture.batches)
        cr_assert_eq(it.server.zone.value(), "a");
}

// Fails if a silent stream is resumed in a zone that was drained after it had begun.
Test(ForwardDrain, streamIsNotResumedInADrainedZone)
{
    DrainFixture fixture;
    fixture.setServers({ server("m1", "model", "a"), server("m2", "model", "b"), server("m3", "model", "a") });
    fixture.submit(start);
    const auto call = fixture.sent.at(0).call;
    fixture.act([&](auto& out) { fixture.forwarder->onResponseHead(call, { 200, {}, {} }, start + 10ms, out); });
    const auto first = fixture.sent[0].server.zone;
    fixture.drain({ first });
    fixture.runTimers(start + 5s);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_neq(fixture.sent[1].server.zone, first);
}

// Fails if requests wait although no server can serve them, for their service itself or for one of their stages.
Test(ForwardDrain, requestIsRefusedAtOnceIfAllItsServersAreDrained)
{
    DrainFixture fixture;
    fixture.setServers({ server("m1", "model", "a"), server("m2", "model", "b"), server("p2", "portal", "b") });
    fixture.drain(zoneB);
    fixture.submit(start, 4);
    cr_assert_eq(fixture.replies.size(), 1);
    fixture.submit(start, 0);
    cr_assert_eq(fixture.replies.size(), 1, "it needs no stage");
    fixture.drain({ AvailabilityZoneId("a"), AvailabilityZoneId("b") });
    fixture.submit(start, 0);
    cr_assert_eq(fixture.replies.size(), 2);
    for (const auto& it : fixture.replies) {
        cr_assert(it.outcome == ForwardOutcome::ZonesDrained);
        cr_assert_eq(it.response.status, 503);
        cr_assert_eq(it.retryAfter, 1s);
    }
}

// Fails if a request that waits for a server keeps on waiting after the zone of all servers was drained.
Test(ForwardDrain, waitingRequestIsRefused)
{
    DrainFixture fixture;
    fixture.setServers({ server("m2", "model", "b") });
    fixture.submit(start);
    const auto call = fixture.sent.at(0).call;
    fixture.act([&](auto& out) { fixture.forwarder->onCallEnd(call, ForwardCallOutcome::NotSent, {}, start, out); });
    fixture.drain(zoneB, start + 5ms);
    fixture.runTimers(start + 50ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.replies.size(), 1);
    cr_assert(fixture.replies[0].outcome == ForwardOutcome::ZonesDrained);
}

// Fails if pieces that wait for servers of a zone stay with them when it is drained.
Test(ForwardDrain, waitingPiecesMoveToOtherZones)
{
    DrainFixture fixture;
    for (std::uint64_t i = 0; i < 12; ++i)
        fixture.submit(start, 10, i);
    const auto first = fixture.batches;
    cr_assert_geq(first.size(), 2, "both zones are used");
    fixture.drain(zoneB, start + 10ms);
    for (std::size_t i = 0; i < fixture.batches.size() && i < 40; ++i) {
        const auto batch = fixture.batches[i];
        std::vector<PieceResult> results(batch.pieces.size(), ResultHandle { "h" + std::to_string(i), batch.server });
        const auto now = start + 300ms + 20ms * i;
        fixture.act(
            [&](auto& out) { fixture.forwarder->onBatchEnd(batch.call, BatchOutcome::Answered, results, now, out); });
        fixture.runTimers(now);
    }
    cr_assert_eq(fixture.batches.size(), 12);
    for (std::size_t i = first.size(); i < fixture.batches.size(); ++i)
        cr_assert_eq(fixture.batches[i].server.zone.value(), "a");
}

// Fails if a restored zone gets all of its traffic at once, or a key moves to it and away again.
Test(ForwardDrain, restoredZoneGetsItsTrafficInSteps)
{
    DrainFixture fixture;
    fixture.setColdLimit(0);
    fixture.drain(zoneB);
    fixture.drain({}, start + 1s);
    std::set<std::uint64_t> moved;
    std::vector<std::size_t> shares;
    for (const auto after : { 100ms, 1100ms, 2100ms, 3100ms, 4100ms }) {
        std::size_t inZone = 0;
        for (std::uint64_t key = 0; key < 200; ++key) {
            fixture.submit(start + 1s + after, 0, key);
            const auto& sent = fixture.sent.back();
            fixture.act([&](auto& out) {
                fixture.forwarder->onCallEnd(
                    sent.call, ForwardCallOutcome::Complete, { 200, {}, {} }, start + 1s + after, out);
            });
            const bool isInZone = sent.server.zone == AvailabilityZoneId("b");
            cr_assert(isInZone || !moved.contains(key), "key %lu moved back", key);
            if (isInZone)
                moved.insert(key);
            inZone += isInZone ? 1 : 0;
        }
        shares.push_back(inZone);
    }
    cr_assert(std::is_sorted(shares.begin(), shares.end()));
    cr_assert_leq(shares[0], 20);
    cr_assert(shares[2] >= 30 && shares[2] <= 80, "%zu", shares[2]);
    cr_assert_geq(shares[4], 70);
}

// Fails if the servers of a restored zone, which are empty, get as many calls as warm ones.
Test(ForwardDrain, serversOfARestoredZoneAreCold)
{
    DrainFixture fixture;
    fixture.act([&](auto& out) { fixture.forwarder->setMembers({ InstanceId("i") }, {}, {}, start, out); });
    fixture.drain(zoneB, start + 3s);
    fixture.drain({}, start + 4s);
    for (int i = 0; i < 400; ++i)
        fixture.submit(start + 8s + 2ms * i, 0, static_cast<std::uint64_t>(i));
    cr_assert_eq(fixture.countSentTo("b"), 2, "%zu", fixture.countSentTo("b"));
    cr_assert_gt(fixture.forwarder->coldCallsHeld(), 0);
    const auto before = fixture.countSentTo("b");
    for (int i = 0; i < 100; ++i)
        fixture.submit(start + 9s, 0, static_cast<std::uint64_t>(i));
    cr_assert_geq(fixture.countSentTo("b") - before, 20, "it is warm");
}

// Fails if a server that became cold without an entry that says so gets calls as before: after a call that broke off,
// one that did not reach it, or a health response.
Test(ForwardDrain, serverThatMayHaveRestartedIsCold)
{
    for (const int cause : { 0, 1, 2, 3 }) {
        DrainFixture fixture;
        fixture.act([&](auto& out) { fixture.forwarder->setMembers({ InstanceId("i") }, {}, {}, start, out); });
        fixture.submit(start + 3s);
        const auto first = fixture.sent.at(0);
        fixture.act([&](auto& out) {
            if (cause < 3)
                fixture.forwarder->onCallEnd(first.call,
                    std::array {
                        ForwardCallOutcome::Broken, ForwardCallOutcome::NotSent, ForwardCallOutcome::Misdirected }
                        .at(static_cast<std::size_t>(cause)),
                    {}, start + 3s, out);
            else
                fixture.forwarder->onServerSignal(first.server, { false, {}, false, 5s }, start + 3s, out);
        });
        const auto zone = first.server.zone.value();
        const auto before = fixture.countSentTo(zone);
        for (int i = 0; i < 400; ++i)
            fixture.submit(start + 4s + 2ms * i, 0, static_cast<std::uint64_t>(i));
        cr_assert_leq(fixture.countSentTo(zone) - before, 2, "cause %d", cause);
    }
}

// Fails if a new server whose entry says that it is cold gets calls as the others.
Test(ForwardDrain, entryOfAColdServerLimitsItsCalls)
{
    DrainFixture fixture;
    fixture.act([&](auto& out) { fixture.forwarder->setMembers({ InstanceId("i") }, {}, {}, start, out); });
    auto cold = server("m3", "model", "b");
    cold.coldRemaining = 10s;
    fixture.setServers({ server("m1", "model", "a"), cold });
    for (int i = 0; i < 20; ++i)
        fixture.submit(start + 1s, 0, static_cast<std::uint64_t>(i));
    cr_assert_eq(fixture.countSentTo("b"), 0, "it does not know the other instances yet");
    for (int i = 0; i < 400; ++i)
        fixture.submit(start + 3s + 2ms * i, 0, static_cast<std::uint64_t>(i));
    cr_assert_leq(fixture.countSentTo("b"), 2);
    cr_assert_geq(fixture.countSentTo("a"), 418);
}

// Fails if pieces that are queued when the last zone of their service is drained wait for their deadlines, or if a
// request is told that it did not run after it was sent.
Test(ForwardDrain, queuedPiecesOfTheLastZoneFailAtOnce)
{
    DrainFixture fixture;
    for (std::uint64_t i = 0; i < 12; ++i)
        fixture.submit(start, 10, i);
    const auto inCalls = fixture.batches.size();
    cr_assert_lt(inCalls, 12);
    fixture.drain({ AvailabilityZoneId("a"), AvailabilityZoneId("b") }, start + 10ms);
    cr_assert_eq(fixture.replies.size(), 12 - inCalls);
    for (const auto& it : fixture.replies) {
        cr_assert(it.outcome == ForwardOutcome::ZonesDrained);
        cr_assert_eq(it.response.status, 503);
        cr_assert_eq(it.retryAfter, 1s);
    }
    cr_assert_eq(fixture.batches.size(), inCalls);
    fixture.drain({}, start + 20ms);
    fixture.submit(start + 5s, 10, 1);
    cr_assert_eq(fixture.replies.size(), 12 - inCalls, "the zones are restored");
}

// Fails if a stream that has begun is broken when the servers of its stage are drained while it is resumed, although
// the zone is restored in time.
Test(ForwardDrain, begunStreamWaitsForTheStageOfARestoredZone)
{
    DrainFixture fixture;
    const std::set<AvailabilityZoneId> all { AvailabilityZoneId("a"), AvailabilityZoneId("b") };
    fixture.setServers({ server("m1", "model", "a"), server("m2", "model", "c"), server("p1", "portal", "a") });
    fixture.submit(start, 1);
    const auto batch = fixture.batches.at(0);
    fixture.act([&](auto& out) {
        fixture.forwarder->onBatchEnd(
            batch.call, BatchOutcome::Answered, { ResultHandle { "h", batch.server } }, start + 250ms, out);
    });
    const auto call = fixture.sent.at(0).call;
    fixture.act([&](auto& out) { fixture.forwarder->onResponseHead(call, { 200, {}, {} }, start + 300ms, out); });
    fixture.drain(all, start + 310ms);
    fixture.act(
        [&](auto& out) { fixture.forwarder->onCallEnd(call, ForwardCallOutcome::Broken, {}, start + 320ms, out); });
    fixture.runTimers(start + 600ms);
    cr_assert_eq(fixture.batches.size(), 1);
    fixture.drain({}, start + 700ms);
    fixture.runTimers(start + 1200ms);
    cr_assert_eq(fixture.batches.size(), 2, "%zu", fixture.batches.size());
    cr_assert(fixture.replies.empty());
}

// Fails if an instance that has just started sends the servers of a zone that was restored before its start as many
// calls as warm ones, also if it hears of them before it knows their entries.
Test(ForwardDrain, instanceThatStartsAfterARestoreHearsOfColdServers)
{
    DrainFixture early;
    early.act([&](auto& out) { early.forwarder->setMembers({ InstanceId("i") }, {}, {}, start, out); });
    early.drain(zoneB, start + 3s);
    early.drain({}, start + 4s);
    const auto notices = early.forwarder->coldServers(start + 4s);
    cr_assert_eq(notices.size(), 1, "%zu", notices.size());

    DrainFixture late;
    late.setServers({});
    late.act([&](auto& out) {
        late.forwarder->setMembers({ InstanceId("i"), InstanceId("j") }, {}, {}, start + 4s, out);
    });
    late.forwarder->onColdServers(notices, start + 4s);
    late.act([&](auto& out) {
        late.forwarder->setServers(
            { server("m1", "model", "a"), server("m2", "model", "b"), server("p1", "portal", "a") }, start + 4s, out);
    });
    for (int i = 0; i < 200; ++i)
        late.submit(start + 6s + 2ms * i, 0, static_cast<std::uint64_t>(i));
    cr_assert_leq(late.countSentTo("b"), 2, "%zu", late.countSentTo("b"));
    cr_assert(late.forwarder->coldServers(start + 6s).empty(), "it does not pass on what it heard");
}

// Fails if a request, one of its pieces or a retry leaves the regions that its route and its account allow.
Test(ForwardDrain, requestsStayInTheirRegions)
{
    DrainFixture fixture({ "east", "north" }, { "west", "east" });
    for (std::uint64_t i = 0; i < 20; ++i)
        fixture.submit(start, 4, i);
    for (std::size_t i = 0; i < fixture.batches.size() && i < 40; ++i) {
        const auto batch = fixture.batches[i];
        cr_assert_eq(batch.server.zone.value(), "b");
        std::vector<PieceResult> results(batch.pieces.size(), ResultHandle { "h" + std::to_string(i), batch.server });
        const auto now = start + 250ms + 20ms * i;
        fixture.act(
            [&](auto& out) { fixture.forwarder->onBatchEnd(batch.call, BatchOutcome::Answered, results, now, out); });
    }
    cr_assert_geq(fixture.sent.size(), 10);
    cr_assert_eq(fixture.countSentTo("a"), 0);
    const auto first = fixture.sent[0].call;
    fixture.act([&](auto& out) { fixture.forwarder->onCallEnd(first, ForwardCallOutcome::Refused, {}, start, out); });
    fixture.runTimers(start + 3s);
    cr_assert_eq(fixture.countSentTo("a"), 0, "retried elsewhere");
}

// Fails if a request waits although no server is in a region that it allows.
Test(ForwardDrain, requestWithoutAServerInItsRegionsIsRefusedAtOnce)
{
    DrainFixture none({ "west" }, { "east" });
    none.submit(start);
    cr_assert_eq(none.replies.size(), 1);
    cr_assert(none.replies[0].outcome == ForwardOutcome::NoServerInRegion);
    cr_assert_eq(none.replies[0].response.status, 503);
    DrainFixture drained({ "east" });
    drained.drain(zoneB);
    drained.submit(start);
    cr_assert_eq(drained.replies.size(), 1);
    cr_assert(drained.replies[0].outcome == ForwardOutcome::ZonesDrained);
}
