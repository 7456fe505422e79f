#include "foxtailwheel/serving/Forwarder.h"
#include "foxtailwheel/base/Hash.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <map>
#include <utility>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };

config::Route route(const std::string& name, config::RetryMode retryMode, bool streaming)
{
    config::Route out;
    out.name = name;
    out.host = "h.example";
    out.prefix = "/" + name + "/";
    out.retryMode = retryMode;
    out.streaming = streaming;
    out.resumable = streaming && retryMode == config::RetryMode::Allowed;
    out.timeout = 8s;
    out.latencyTarget = 1s;
    out.maxCallsPerRequest = 2;
    out.targets = { { ServiceId(streaming ? "model" : "desk"), 1 } };
    return out;
}

std::shared_ptr<config::RouteTable> table(std::uint64_t version = 1)
{
    auto out = std::make_shared<config::RouteTable>();
    out->version = version;
    out->routes = { route("safe", config::RetryMode::Allowed, false), route("book", config::RetryMode::Never, false),
        route("plan", config::RetryMode::Allowed, true), route("once", config::RetryMode::Never, true) };
    auto slow = route("slow", config::RetryMode::Allowed, true);
    slow.eventGapTarget = 2s;
    slow.timeout = 300s;
    out->routes.push_back(slow);
    auto staged = route("staged", config::RetryMode::Allowed, true);
    staged.stages = { { ServiceId("portal"), {}, 1000 }, { ServiceId("bill"), { 0 }, 100 } };
    out->routes.push_back(staged);
    const config::BatchLimits batch { 1, 2, 10, 200ms, 17ms, 4s, 0 };
    out->services = { { ServiceId("desk"), std::nullopt, 6, 0 }, { ServiceId("model"), std::nullopt, 64, 1000 },
        { ServiceId("portal"), batch, 0, 0 }, { ServiceId("bill"), batch, 0, 0 } };
    out->needsCredentials = true;
    out->credentials = { { "key", { ClientAccountId("account"), std::nullopt } } };
    out->buildIndex();
    return out;
}

AnnouncedServer server(const std::string& id, const std::string& service, const std::string& zone = "a")
{
    static std::uint16_t port = 9000;
    return { { BackendServerId(id), "127.0.0.1", ++port, AvailabilityZoneId(zone) }, ServiceId(service), false, 6 };
}

struct ForwarderFixture {
    explicit ForwarderFixture(ForwarderOptions options = {})
    {
        options.pools.self = InstanceId("i");
        options.pools.zone = AvailabilityZoneId("a");
        forwarder = Forwarder::create(options);
        collectActions([&](auto& out) { forwarder->configure(table(), start, out); });
        forwarder->confirmCredentials(table()->version, start);
        servers = { server("d1", "desk"), server("d2", "desk"), server("m1", "model"), server("m2", "model"),
            server("p1", "portal"), server("b1", "bill") };
        collectActions([&](auto& out) { forwarder->setServers(servers, start, out); });
    }

    ForwardId submit(const std::string& name, TimePoint now = start, Duration remaining = 8s)
    {
        ForwardRequest request;
        request.attemptId = "r" + std::to_string(++requestCount);
        request.host = "h.example";
        request.message = { "POST", "/" + name + "/x", {}, "body" };
        request.credential = credential;
        request.remainingTime = remaining;
        request.pieceCounts = pieces;
        request.pieceKey = "k";
        request.prompt = prompt;
        const auto id = forwarder->allocateRequestId();
        collectActions([&](auto& out) { forwarder->submit(id, std::move(request), now, out); });
        return id;
    }

    void endCall(CallId call, ForwardCallOutcome outcome, TimePoint now, unsigned status = 200)
    {
        collectActions([&](auto& out) { forwarder->onCallEnd(call, outcome, { status, {}, "answer" }, now, out); });
    }

    void endBatch(const SendBatch& batch, TimePoint now)
    {
        std::vector<PieceResult> results;
        for (const auto& it : batch.pieces)
            results.emplace_back(
                ResultHandle { batch.service.value() + "/" + std::to_string(it.index) + "/" + std::to_string(++handles),
                    batch.server });
        collectActions(
            [&](auto& out) { forwarder->onBatchEnd(batch.call, BatchOutcome::Answered, results, now, out); });
    }

    /// Begins the stream of the request that was sent last.
    CallId beginStream(TimePoint now)
    {
        const auto call = sent.back().call;
        collectActions([&](auto& out) { forwarder->onResponseHead(call, { 200, {}, {} }, now, out); });
        return call;
    }

    void receive(CallId call, std::string_view bytes, TimePoint now)
    {
        collectActions([&](auto& out) { forwarder->onResponseData(call, bytes, now, out); });
    }

    void runTimers(TimePoint now)
    {
        collectActions([&](auto& out) { forwarder->onTimer(now, out); });
    }

    template <class Function> void collectActions(Function function)
    {
        ForwardActions actions;
        function(actions);
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendUpstreamRequest>(&it))
                sent.push_back(*send);
            else if (auto* stop = std::get_if<CancelUpstreamRequest>(&it))
                cancelled.push_back(stop->call);
            else if (auto* batch = std::get_if<SendBatch>(&it))
                batches.push_back(*batch);
            else if (auto* whole = std::get_if<SendResponse>(&it))
                replies.push_back(*whole);
            else if (auto* bytes = std::get_if<SendResponseData>(&it))
                streamed += bytes->bytes;
            else if (auto* ended = std::get_if<EndResponse>(&it))
                outcomes.push_back(ended->outcome);
            else if (auto* message = std::get_if<SendToInstance>(&it))
                messages.push_back(*message);
            else if (auto* release = std::get_if<ReleaseResults>(&it))
                released.insert(released.end(), release->handles.begin(), release->handles.end());
            else if (auto* update = std::get_if<CrashRecordUpdate>(&it))
                crashUpdates.push_back(*update);
            else if (auto* server = std::get_if<LeavingServer>(&it))
                leaving.push_back(*server);
            else if (auto* check = std::get_if<CheckServer>(&it))
                checks.push_back(*check);
        }
    }

    std::unique_ptr<Forwarder> forwarder;
    std::vector<AnnouncedServer> servers;
    std::string credential = "key";
    std::vector<std::uint32_t> pieces;
    std::vector<PromptPart> prompt;
    std::size_t requestCount = 0;
    std::size_t handles = 0;
    std::vector<SendUpstreamRequest> sent;
    std::vector<CallId> cancelled;
    std::vector<SendBatch> batches;
    std::vector<SendResponse> replies;
    std::string streamed;
    std::vector<ForwardOutcome> outcomes;
    std::vector<std::string> released;
    std::vector<SendToInstance> messages;
    std::vector<CrashRecordUpdate> crashUpdates;
    std::vector<LeavingServer> leaving;
    std::vector<CheckServer> checks;
};

/// Makes both servers of a service suspected with requests that may run once, sent on `routeName`.
void failAllServers(ForwarderFixture& fixture, const std::string& routeName, ForwardCallOutcome outcome)
{
    do {
        fixture.sent.clear();
        fixture.submit(routeName);
        if (!fixture.sent.empty())
            fixture.endCall(fixture.sent[0].call, outcome, start);
    } while (!fixture.sent.empty());
    fixture.replies.clear();
}

} // namespace

Test(Forwarder, responseIsForwardedUnchanged)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.sent[0].message.body, "body");
    cr_assert_eq(fixture.sent[0].account.value(), "account");
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Complete, start + 20ms, 500);
    cr_assert_eq(fixture.replies.size(), 1);
    cr_assert_eq(fixture.replies[0].response.status, 500);
    cr_assert_eq(fixture.replies[0].response.body, "answer");
}

Test(Forwarder, nonIdempotentRequestIsNotRetriedAfterItMayHaveRun)
{
    for (const auto outcome : { ForwardCallOutcome::Broken, ForwardCallOutcome::TimedOut }) {
        for (const std::string name : { "book", "once" }) {
            ForwarderFixture fixture;
            fixture.submit(name);
            fixture.endCall(fixture.sent[0].call, outcome, start + 20ms);
            fixture.runTimers(start + 2s);
            cr_assert_eq(fixture.sent.size(), 1);
            cr_assert_eq(fixture.replies.size(), 1);
            cr_assert_geq(fixture.replies[0].response.status, 502);
            cr_assert_neq(fixture.replies[0].response.status, 503, "503 would state that the request did not run");
        }
    }
}

Test(Forwarder, requestThatDidNotRunIsRetriedOnAnotherServer)
{
    for (const auto outcome :
        { ForwardCallOutcome::NotSent, ForwardCallOutcome::Refused, ForwardCallOutcome::Misdirected }) {
        ForwarderFixture fixture;
        fixture.submit("book");
        fixture.endCall(fixture.sent[0].call, outcome, start + 5ms);
        cr_assert_eq(fixture.sent.size(), 2);
        cr_assert_neq(fixture.sent[1].server.id, fixture.sent[0].server.id);
    }
}

Test(Forwarder, refusalByAllServersIsReportedWithRetryAfter)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    for (std::size_t i = 0; i < fixture.sent.size() && i < 10; ++i)
        fixture.endCall(fixture.sent[i].call, ForwardCallOutcome::Refused, start + 5ms * (i + 1));
    cr_assert_leq(fixture.sent.size(), 4);
    cr_assert_eq(fixture.replies.at(0).response.status, 503);
    cr_assert_gt(fixture.replies[0].retryAfter, Duration {});
}

Test(Forwarder, brokenIdempotentCallIsRetriedUpToMaxCallsPerRequest)
{
    ForwarderFixture fixture;
    fixture.submit("safe");
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Broken, start + 20ms);
    cr_assert_eq(fixture.sent.size(), 2);
    fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::Broken, start + 40ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.replies.at(0).response.status, 502);
}

Test(Forwarder, slowIdempotentCallIsHedgedAndTheFirstResponseWins)
{
    ForwarderFixture fixture;
    fixture.submit("safe");
    fixture.runTimers(start + 500ms);
    cr_assert_eq(fixture.sent.size(), 2);
    fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::Complete, start + 520ms);
    cr_assert_eq(fixture.replies.size(), 1);
    cr_assert_eq(fixture.cancelled.size(), 1);
    cr_assert_eq(fixture.cancelled[0], fixture.sent[0].call);
}

Test(Forwarder, outdatedCredentialsAreNeitherAcceptedNorRejected)
{
    ForwarderFixture fixture;
    fixture.submit("book", start + 4400ms);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.submit("book", start + 4600ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.replies.at(0).response.status, 503);
    fixture.credential = "wrong";
    fixture.submit("book", start + 4700ms);
    cr_assert_eq(fixture.replies.at(1).response.status, 503, "an unknown credential may be a new one");
    fixture.submit("book", start + 1s);
    cr_assert_eq(fixture.replies.at(2).response.status, 401);
}

// A store that had returned from an older copy confirmed credentials though newer versions, with which some had been
// revoked, were lost with it.
Test(Forwarder, olderConfigurationDoesNotConfirmTheCredentials)
{
    ForwarderFixture fixture;
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(table(3), start, out); });
    cr_assert(!fixture.forwarder->confirmCredentials(2, start + 3s));
    fixture.submit("book", start + 4600ms);
    cr_assert_eq(fixture.sent.size(), 0);
    cr_assert_eq(fixture.replies.at(0).response.status, 503);
    cr_assert(fixture.forwarder->confirmCredentials(3, start + 3s));
    fixture.submit("book", start + 4700ms);
    cr_assert_eq(fixture.sent.size(), 1);
}

Test(Forwarder, requestWithoutConfigurationIsAnsweredWith503)
{
    const auto forwarder = Forwarder::create({});
    ForwardActions actions;
    forwarder->submit(forwarder->allocateRequestId(), {}, start, actions);
    cr_assert_eq(std::get<SendResponse>(actions.at(0)).response.status, 503);
}

Test(Forwarder, olderConfigurationIsIgnored)
{
    ForwarderFixture fixture;
    ForwardActions actions;
    cr_assert(fixture.forwarder->configure(table(5), start, actions));
    cr_assert(!fixture.forwarder->configure(table(4), start, actions));
    cr_assert_eq(fixture.forwarder->table()->version, 5);
}

Test(Forwarder, leavingServersGetNoNewCalls)
{
    ForwarderFixture fixture;
    fixture.servers[0].leaving = true;
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    for (int i = 0; i < 20; ++i)
        fixture.submit("book");
    cr_assert_eq(fixture.sent.size(), 20);
    for (const auto& it : fixture.sent)
        cr_assert_eq(it.server.id.value(), "d2");
}

Test(Forwarder, brokenStreamResumesAfterItsLastCompleteEvent)
{
    ForwarderFixture fixture;
    fixture.submit("plan");
    const auto first = fixture.sent.at(0).call;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(first, { 200, {}, {} }, start + 100ms, out);
    });
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseData(first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", start + 110ms, out);
    });
    fixture.endCall(first, ForwardCallOutcome::Broken, start + 120ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(*fixture.sent[1].lastEventId, 2);
    const auto second = fixture.sent[1].call;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(second, { 200, {}, {} }, start + 200ms, out);
    });
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseData(second, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", start + 210ms, out);
    });
    fixture.endCall(second, ForwardCallOutcome::Complete, start + 220ms);
    cr_assert_eq(fixture.streamed, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::Answered);
}

// A server that went on after the last event with a number sent those without one again.
Test(Forwarder, streamWithEventsWithoutANumberIsNotResumed)
{
    for (const std::string event : { "data: b\n\n", "id: 2b\ndata: b\n\n" }) {
        ForwarderFixture fixture;
        fixture.submit("plan");
        const auto call = fixture.beginStream(start + 100ms);
        fixture.receive(call, "id: 1\ndata: a\n\n" + event, start + 110ms);
        fixture.endCall(call, ForwardCallOutcome::Broken, start + 120ms);
        cr_assert_eq(fixture.sent.size(), 1);
        cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::StreamBroken);
    }
}

Test(Forwarder, brokenNonResumableStreamIsNotRetried)
{
    ForwarderFixture fixture;
    fixture.submit("once");
    const auto call = fixture.sent.at(0).call;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(call, { 200, {}, {} }, start + 100ms, out);
    });
    fixture.collectActions(
        [&](auto& out) { fixture.forwarder->onResponseData(call, "id: 1\ndata: a\n\n", start + 110ms, out); });
    fixture.endCall(call, ForwardCallOutcome::Broken, start + 120ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::StreamBroken);
}

Test(Forwarder, streamThatEndsWithinAnEventIsBroken)
{
    ForwarderFixture fixture;
    fixture.submit("once");
    const auto call = fixture.sent.at(0).call;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(call, { 200, {}, {} }, start + 100ms, out);
    });
    fixture.collectActions(
        [&](auto& out) { fixture.forwarder->onResponseData(call, "id: 1\ndata: a", start + 110ms, out); });
    fixture.endCall(call, ForwardCallOutcome::Complete, start + 120ms);
    cr_assert_eq(fixture.streamed, "");
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::StreamBroken);
}

Test(Forwarder, silentCallIsCancelledBeforeItsStreamFailsOver)
{
    ForwarderFixture fixture;
    fixture.submit("plan");
    const auto first = fixture.sent.at(0).call;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(first, { 200, {}, {} }, start + 100ms, out);
    });
    fixture.runTimers(start + 2000ms);
    cr_assert(fixture.cancelled.empty());
    fixture.runTimers(start + 2200ms);
    cr_assert_eq(fixture.cancelled.at(0), first);
    cr_assert_eq(fixture.sent.size(), 2);
}

// A stream of a sound server that paused was given up; where no other server took it, it broke off.
Test(Forwarder, streamOfAServerThatPausesGoesOn)
{
    for (const auto gapTarget : { 0ms, 250ms, 400ms }) {
        for (const auto target : { 300ms, 1000ms, 2000ms }) {
            ForwarderFixture fixture;
            auto changed = table(2);
            for (auto& it : changed->routes) {
                it.eventGapTarget = gapTarget;
                it.latencyTarget = target;
            }
            fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
            fixture.submit("plan");
            const auto call = fixture.beginStream(start + 100ms);
            fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
            for (auto now = start + 300ms; now < start + 1700ms; now += 50ms)
                fixture.runTimers(now);
            fixture.receive(call, "id: 2\ndata: b\n\n", start + 1700ms);
            fixture.endCall(call, ForwardCallOutcome::Complete, start + 1800ms);
            cr_assert(fixture.cancelled.empty());
            cr_assert_eq(fixture.sent.size(), 1);
            cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::Answered);
        }
    }
}

Test(Forwarder, silentStreamIsGivenUpBeforeItsCallerLeaves)
{
    ForwarderFixture fixture;
    auto changed = table(2);
    for (auto& it : changed->routes)
        it.latencyTarget = 300ms;
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
    for (auto now = start + 300ms; now <= start + 1750ms; now += 50ms)
        fixture.runTimers(now);
    cr_assert_eq(fixture.cancelled.size(), 1, "the caller leaves 2 s after the last event");
    cr_assert_eq(fixture.sent.size(), 2);
}

Test(Forwarder, slowStreamWithinTheAllowedPauseIsWhole)
{
    ForwarderFixture fixture;
    fixture.submit("slow", start, 300s);
    const auto call = fixture.beginStream(start + 100ms);
    std::string expected;
    auto now = start + 100ms;
    for (int i = 1; i <= 120; ++i) {
        now += 1800ms;
        fixture.runTimers(now);
        const auto event = "id: " + std::to_string(i) + "\ndata: a\n\n";
        fixture.receive(call, event, now);
        expected += event;
    }
    fixture.endCall(call, ForwardCallOutcome::Complete, now);
    cr_assert(fixture.cancelled.empty());
    cr_assert_eq(fixture.streamed, expected);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::Answered);
}

Test(Forwarder, stalledStreamThatSendsBytesOrCommentsFailsOver)
{
    for (const std::string bytes : { "d", ": still here\n\n" }) {
        ForwarderFixture fixture;
        fixture.submit("plan");
        const auto call = fixture.beginStream(start + 100ms);
        fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
        for (auto now = start + 500ms; now <= start + 2300ms; now += 100ms) {
            fixture.receive(call, bytes, now);
            fixture.runTimers(now);
        }
        cr_assert_eq(fixture.cancelled.size(), 1);
        cr_assert_eq(fixture.sent.size(), 2);
        cr_assert_eq(*fixture.sent[1].lastEventId, 1);
    }
}

Test(Forwarder, stalledStreamThatMayNotBeResumedEndsAtItsDeadline)
{
    ForwarderFixture fixture;
    fixture.submit("once");
    const auto call = fixture.beginStream(start + 100ms);
    for (auto now = start + 200ms; now <= start + 8s; now += 100ms) {
        fixture.receive(call, ": still here\n\n", now);
        fixture.runTimers(now);
    }
    cr_assert_eq(fixture.cancelled.size(), 1);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::StreamBroken);
}

Test(Forwarder, silentStreamIsNotCutWithoutRetryBudget)
{
    ForwarderOptions options;
    options.retryBudgetFraction = 0;
    options.retryBudgetReserve = 0;
    ForwarderFixture fixture(options);
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.runTimers(start + 2200ms);
    fixture.runTimers(start + 2500ms);
    cr_assert(fixture.cancelled.empty(), "the stream cannot be resumed, so it must not be given up");
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 2600ms);
    fixture.endCall(call, ForwardCallOutcome::Complete, start + 2700ms);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::Answered);
}

// A stream was given up while no other server was there, and could not go on anywhere.
Test(Forwarder, silentStreamIsNotGivenUpWithoutAnotherServer)
{
    ForwarderFixture fixture;
    const auto announce = [&](const std::vector<AnnouncedServer>& servers, TimePoint now) {
        fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(servers, now, out); });
    };
    announce({ fixture.servers[2] }, start);
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
    fixture.runTimers(start + 2300ms);
    cr_assert(fixture.cancelled.empty());
    cr_assert_eq(fixture.sent.size(), 1);
    announce(fixture.servers, start + 2400ms);
    fixture.runTimers(start + 2600ms);
    cr_assert_eq(fixture.cancelled.size(), 1);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_neq(fixture.sent[1].server.id, fixture.sent[0].server.id);
}

// A stream that had begun broke off at once when no server took it, although its caller waited for seconds more.
Test(Forwarder, begunStreamLooksForAServerWhileItsCallerWaits)
{
    const auto giveUp = [](ForwarderFixture& fixture) {
        fixture.submit("plan");
        const auto call = fixture.beginStream(start + 100ms);
        fixture.receive(call, "id: 1\ndata: a\n\n", start + 1500ms);
        fixture.runTimers(start + 3500ms);
        cr_assert_eq(fixture.sent.size(), 2);
    };
    const auto runTimers = [](ForwarderFixture& fixture, TimePoint from, TimePoint until) {
        for (auto now = from; now <= until; now += 25ms)
            fixture.runTimers(now);
    };
    const auto expectResumed = [](const ForwarderFixture& fixture) {
        cr_assert(fixture.outcomes.empty());
        cr_assert_eq(fixture.sent.size(), 3);
        cr_assert_eq(*fixture.sent[2].lastEventId, 1);
    };
    {
        ForwarderFixture fixture;
        giveUp(fixture);
        fixture.collectActions([&](auto& out) { fixture.forwarder->setServers({}, start + 3510ms, out); });
        fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::NotSent, start + 3510ms);
        runTimers(fixture, start + 3525ms, start + 4200ms);
        fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start + 4200ms, out); });
        runTimers(fixture, start + 4200ms, start + 4300ms);
        expectResumed(fixture);
    }
    {
        ForwarderFixture fixture;
        giveUp(fixture);
        for (const auto i : { 2, 3 })
            fixture.collectActions([&](auto& out) {
                fixture.forwarder->onServerSignal(
                    fixture.servers[static_cast<std::size_t>(i)].server, { false, 1s, false }, start + 3510ms, out);
            });
        fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::Refused, start + 3510ms);
        runTimers(fixture, start + 3525ms, start + 4900ms);
        expectResumed(fixture);
    }
    {
        ForwarderOptions options;
        options.retryBudgetFraction = 0;
        options.retryBudgetReserve = 1.3;
        options.retryBudgetWindow = 1s;
        ForwarderFixture fixture(options);
        giveUp(fixture);
        fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::Refused, start + 3510ms);
        runTimers(fixture, start + 3525ms, start + 4400ms);
        cr_assert_eq(fixture.sent.size(), 2, "the retry budget is used up");
        runTimers(fixture, start + 4400ms, start + 4900ms);
        expectResumed(fixture);
    }
}

Test(Forwarder, begunStreamWithoutAServerBreaksOffBeforeItsCallerLeaves)
{
    ForwarderFixture fixture;
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers({}, start + 300ms, out); });
    fixture.endCall(call, ForwardCallOutcome::Broken, start + 300ms);
    for (auto now = start + 325ms; now <= start + 3200ms; now += 25ms)
        fixture.runTimers(now);
    cr_assert(fixture.outcomes.empty());
    for (auto now = start + 3225ms; now <= start + 4200ms; now += 25ms)
        fixture.runTimers(now);
    cr_assert_eq(fixture.outcomes.size(), 1, "the caller leaves 4 s after the last event");
    cr_assert_eq(fixture.outcomes[0], ForwardOutcome::StreamBroken);
}

// Pauses that end after the caller has left are no reason to wait.
Test(Forwarder, begunStreamBreaksOffIfAllServersPauseForLonger)
{
    ForwarderFixture fixture;
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 200ms);
    for (const auto i : { 2, 3 })
        fixture.collectActions([&](auto& out) {
            fixture.forwarder->onServerSignal(
                fixture.servers[static_cast<std::size_t>(i)].server, { false, 20s, false }, start + 300ms, out);
        });
    fixture.endCall(call, ForwardCallOutcome::Broken, start + 300ms);
    cr_assert_eq(fixture.outcomes.size(), 1);
    cr_assert_eq(fixture.outcomes[0], ForwardOutcome::StreamBroken);
}

// A stream whose stages ran again after its server failed broke off at the first missing result.
Test(Forwarder, begunStreamSurvivesAMissingResultAfterItsStagesRanAgain)
{
    ForwarderFixture fixture;
    fixture.pieces = { 1, 1 };
    fixture.submit("staged");
    auto now = start;
    const auto runStages = [&] {
        for (int i = 0; i < 2; ++i) {
            now += 217ms;
            fixture.endBatch(fixture.batches.back(), now);
        }
    };
    runStages();
    const auto call = fixture.beginStream(now + 10ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", now + 20ms);
    fixture.endCall(call, ForwardCallOutcome::Broken, now + 30ms);
    runStages();
    cr_assert_eq(fixture.sent.size(), 2);
    fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::InputMissing, now + 10ms);
    cr_assert(fixture.outcomes.empty());
    runStages();
    cr_assert_eq(fixture.sent.size(), 3);
    cr_assert_eq(*fixture.sent[2].lastEventId, 1);
    fixture.endCall(fixture.sent[2].call, ForwardCallOutcome::InputMissing, now + 10ms);
    cr_assert_eq(fixture.outcomes.size(), 1, "the stages run again once for a missing result");
}

Test(Forwarder, endlessEventBreaksItsStreamOnly)
{
    ForwarderOptions options;
    options.maxEventBytes = 10000;
    ForwarderFixture fixture(options);
    fixture.submit("once");
    const auto sound = fixture.beginStream(start + 100ms);
    fixture.submit("once");
    const auto endless = fixture.beginStream(start + 100ms);
    for (int i = 0; i < 20; ++i)
        fixture.receive(endless, std::string(1000, 'x'), start + 200ms);
    cr_assert_eq(fixture.outcomes.size(), 1);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::StreamBroken);
    cr_assert_eq(fixture.cancelled.at(0), endless);
    fixture.receive(sound, "id: 1\ndata: a\n\n", start + 300ms);
    fixture.endCall(sound, ForwardCallOutcome::Complete, start + 400ms);
    cr_assert_eq(fixture.outcomes.at(1), ForwardOutcome::Answered);
}

Test(Forwarder, incompleteEventsOfAllStreamsAreLimitedTogether)
{
    ForwarderOptions options;
    options.maxPartialEventBytes = 20000;
    ForwarderFixture fixture(options);
    std::vector<CallId> calls;
    for (int i = 0; i < 10; ++i) {
        fixture.submit("once");
        calls.push_back(fixture.beginStream(start + 100ms));
    }
    fixture.receive(calls[3], std::string(9000, 'x'), start + 200ms);
    for (const auto it : calls)
        fixture.receive(it, std::string(1500, 'x'), start + 300ms);
    cr_assert_eq(fixture.cancelled.size(), 1);
    cr_assert_eq(fixture.cancelled.at(0), calls[3], "the largest incomplete event is given up");
}

Test(Forwarder, stagesRunInOrderAndTheRequestGetsTheFinalResults)
{
    ForwarderFixture fixture;
    fixture.pieces = { 2, 3 };
    fixture.submit("staged");
    cr_assert_eq(fixture.sent.size(), 0);
    cr_assert_eq(fixture.batches.at(0).service.value(), "portal");
    cr_assert_eq(fixture.batches[0].pieces[0].key, "k");
    fixture.endBatch(fixture.batches[0], start + 234ms);
    cr_assert_eq(fixture.batches.at(1).service.value(), "bill");
    cr_assert_eq(fixture.batches[1].pieces.size(), 3);
    cr_assert_eq(fixture.batches[1].pieces[0].inputs.size(), 2, "each piece uses all results of the previous stage");
    fixture.endBatch(fixture.batches[1], start + 500ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.sent[0].inputs.size(), 3);
    cr_assert_eq(fixture.released.size(), 2, "results that no remaining stage needs are released");
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onResponseHead(fixture.sent[0].call, { 200, {}, {} }, start + 600ms, out);
    });
    cr_assert_eq(fixture.released.size(), 5, "the first event proves that the inputs were read");
}

Test(Forwarder, resultsForAProcessThatHasEndedAreNotTaken)
{
    const InstanceId owner("o");
    const auto startProcess = [&owner](std::uint64_t firstGroupId) {
        ForwarderOptions options;
        options.firstGroupId = firstGroupId;
        auto fixture = std::make_unique<ForwarderFixture>(options);
        fixture->collectActions([&](auto& out) {
            fixture->forwarder->setMembers({ InstanceId("i"), owner }, { owner }, {}, start, out);
        });
        fixture->pieces = { 1, 1 };
        fixture->submit("staged");
        return fixture;
    };
    const auto deliver = [&owner](ForwarderFixture& fixture, const PieceRequest& request, const std::string& handle) {
        PieceResults results { request.group, request.service, {}, {} };
        results.pieces.push_back({ 0, ResultHandle { handle, server("p1", "portal").server, request.service } });
        fixture.collectActions(
            [&](auto& out) { fixture.forwarder->onPeerMessage(owner, results, start + 100ms, out); });
    };
    const auto ended = startProcess(1000);
    const auto restarted = startProcess(2000);
    const auto oldRequest = std::get<PieceRequest>(ended->messages.at(0).message);
    const auto newRequest = std::get<PieceRequest>(restarted->messages.at(0).message);
    restarted->messages.clear();
    deliver(*restarted, oldRequest, "of another request");
    cr_assert(std::none_of(restarted->messages.begin(), restarted->messages.end(),
        [](const auto& it) { return std::holds_alternative<PieceRequest>(it.message); }));
    deliver(*restarted, newRequest, "own");
    const auto next = std::find_if(restarted->messages.begin(), restarted->messages.end(),
        [](const auto& it) { return std::holds_alternative<PieceRequest>(it.message); });
    cr_assert(next != restarted->messages.end());
    cr_assert_eq(std::get<PieceRequest>(next->message).pieces.at(0).inputs, std::vector<std::string> { "own" });
}

Test(Forwarder, stageRunsInTheZoneOfItsInputs)
{
    ForwarderFixture fixture;
    fixture.servers
        = { server("m1", "model"), server("p1", "portal", "b"), server("b1", "bill"), server("b2", "bill", "b") };
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    for (std::size_t i = 0; i < 6; ++i) {
        fixture.pieces = { 2, 3 };
        fixture.submit("staged", start + i * 700ms);
        fixture.endBatch(fixture.batches.at(2 * i), start + i * 700ms + 234ms);
        cr_assert_eq(fixture.batches.at(2 * i + 1).server.id.value(), "b2");
        fixture.endBatch(fixture.batches[2 * i + 1], start + i * 700ms + 500ms);
    }
}

Test(Forwarder, stageWithoutPiecesIsSkipped)
{
    ForwarderFixture fixture;
    fixture.pieces = { 0, 0 };
    fixture.submit("staged");
    cr_assert_eq(fixture.batches.size(), 0);
    cr_assert_eq(fixture.sent.size(), 1);
}

// Stages run in the order of their dependencies, not in the one in which they are listed.
Test(Forwarder, stageListedFirstWaitsForTheOneItDependsOn)
{
    ForwarderFixture fixture;
    auto changed = std::make_shared<config::RouteTable>(*fixture.forwarder->table());
    changed->version = 2;
    for (auto& it : changed->routes) {
        if (it.name == "staged")
            it.stages = { { ServiceId("bill"), { 1 }, 600 }, { ServiceId("portal"), {}, 8000 } };
    }
    changed->buildIndex();
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
    fixture.pieces = { 3, 2 };
    fixture.submit("staged");
    cr_assert_eq(fixture.batches.size(), 1);
    cr_assert_eq(fixture.batches[0].service.value(), "portal");
    fixture.endBatch(fixture.batches[0], start + 234ms);
    cr_assert_eq(fixture.batches.at(1).service.value(), "bill");
    cr_assert_eq(fixture.batches[1].pieces.at(0).inputs.size(), 2);
    fixture.endBatch(fixture.batches[1], start + 500ms);
    cr_assert_eq(fixture.sent.at(0).inputs.size(), 3);
}

// A route that could not be read was dropped, and its requests went to the service of a route with a shorter prefix.
Test(Forwarder, requestsOfARouteThatCannotBeUsedAreRefusedAtOnce)
{
    ForwarderFixture fixture;
    auto changed = std::make_shared<config::RouteTable>(*fixture.forwarder->table());
    changed->version = 2;
    changed->routes.push_back(changed->routes.at(0));
    changed->routes.back().prefix = "/";
    changed->routes.at(0).usable = false;
    changed->routes.at(0).targets.clear();
    changed->routes.at(2).targets.at(0).usable = false;
    changed->credentials["broken"] = { ClientAccountId("other"), std::nullopt, {}, false };
    changed->buildIndex();
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
    fixture.submit("safe");
    fixture.submit("plan");
    fixture.credential = "broken";
    fixture.submit("book");
    cr_assert(fixture.sent.empty());
    cr_assert_eq(fixture.replies.size(), 3);
    for (const auto& it : fixture.replies) {
        cr_assert_eq(it.outcome, ForwardOutcome::InvalidConfiguration);
        cr_assert_eq(it.response.status, 503);
    }
    ForwardRequest query;
    query.host = "h.example";
    query.message = { "POST", "/safe/x", {}, {} };
    cr_assert(!fixture.forwarder->explainPlacement(query, start).usable);
}

// Pieces of a stage that the version in force does not have were left out, and the request ran without their results.
Test(Forwarder, requestWithPiecesForAnUnknownStageIsRefused)
{
    ForwarderFixture fixture;
    fixture.pieces = { 1, 1, 2 };
    fixture.submit("staged");
    cr_assert(fixture.batches.empty());
    cr_assert_eq(fixture.replies.at(0).outcome, ForwardOutcome::UnknownStage);
    cr_assert_eq(fixture.replies[0].response.status, 503);
    fixture.pieces = { 1, 1, 0 };
    fixture.submit("staged");
    cr_assert_eq(fixture.batches.size(), 1);
}

// The results of a stage whose only reader is omitted were released as soon as they were there.
Test(Forwarder, resultsOfAStageWhoseReaderIsOmittedAreKeptForTheRequest)
{
    ForwarderFixture fixture;
    fixture.pieces = { 2, 0 };
    fixture.submit("staged");
    fixture.endBatch(fixture.batches.at(0), start + 217ms);
    cr_assert_eq(fixture.sent.at(0).inputs.size(), 2);
    cr_assert(fixture.released.empty());
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::InputMissing, start + 220ms);
    cr_assert_eq(fixture.batches.at(1).pieces.size(), 2, "a missing result is produced again");
    fixture.endBatch(fixture.batches[1], start + 440ms);
    cr_assert_eq(fixture.sent.at(1).inputs.size(), 2);
}

Test(Forwarder, missingResultIsProducedAgain)
{
    ForwarderFixture fixture;
    fixture.pieces = { 1, 1 };
    fixture.submit("staged");
    fixture.endBatch(fixture.batches.at(0), start + 217ms);
    fixture.endBatch(fixture.batches.at(1), start + 434ms);
    fixture.endCall(fixture.sent.at(0).call, ForwardCallOutcome::InputMissing, start + 440ms);
    cr_assert_eq(fixture.batches.size(), 3);
    cr_assert_eq(fixture.batches[2].service.value(), "portal");
}

// While a failed piece was requested again, the rest of its group was forgotten: handed over, it never came back.
Test(Forwarder, otherPiecesOfAGroupAreKeptWhileOneIsRequestedAgain)
{
    const InstanceId owner("o");
    ForwarderFixture fixture;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->setMembers({ InstanceId("i"), owner }, { owner }, {}, start, out);
    });
    fixture.pieces = { 3, 1 };
    fixture.submit("staged");
    const auto request = std::get<PieceRequest>(fixture.messages.at(0).message);
    cr_assert_eq(request.pieces.size(), 3);
    const auto deliver = [&](const std::vector<IndexedPieceResult>& results, TimePoint now) {
        fixture.collectActions([&](auto& out) {
            fixture.forwarder->onPeerMessage(
                owner, PieceResults { request.group, request.service, results, {} }, now, out);
        });
    };
    deliver({ { 0, PieceFailure::Failed } }, start + 100ms);
    const auto again = std::get<PieceRequest>(fixture.messages.at(1).message);
    cr_assert_eq(again.pieces.size(), 1);
    cr_assert_eq(again.pieces[0].index, 0);
    deliver({ { 1, PieceFailure::OwnerChanged }, { 2, PieceFailure::OwnerChanged } }, start + 200ms);
    std::vector<std::uint32_t> running;
    for (const auto& it : fixture.batches) {
        for (const auto& piece : it.pieces)
            running.push_back(piece.index);
    }
    cr_assert(running == std::vector<std::uint32_t>({ 1, 2 }));
    // All three results are there: the next stage starts.
    const auto deliverAgain = PieceResults { again.group, again.service,
        { { 0, ResultHandle { "x", server("p1", "portal").server, again.service } } }, {} };
    fixture.collectActions(
        [&](auto& out) { fixture.forwarder->onPeerMessage(owner, deliverAgain, start + 300ms, out); });
    fixture.endBatch(fixture.batches.at(0), start + 400ms);
    const auto& next = std::get<PieceRequest>(fixture.messages.back().message);
    cr_assert_eq(next.service.value(), "bill");
    cr_assert_eq(next.pieces.at(0).inputs.size(), 3);
}

// A second copy of a piece ended its request, or was requested again and again, although the first one had its result.
Test(Forwarder, failureOfAPieceThatHasItsResultIsIgnored)
{
    const InstanceId owner("o");
    ForwarderFixture fixture;
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->setMembers({ InstanceId("i"), owner }, { owner }, {}, start, out);
    });
    fixture.pieces = { 2, 1 };
    fixture.submit("staged");
    const auto request = std::get<PieceRequest>(fixture.messages.at(0).message);
    const auto deliver = [&](const std::vector<IndexedPieceResult>& results, TimePoint now) {
        fixture.collectActions([&](auto& out) {
            fixture.forwarder->onPeerMessage(
                owner, PieceResults { request.group, request.service, results, {} }, now, out);
        });
    };
    const auto result = [&request](const std::string& handle) {
        return ResultHandle { handle, server("p1", "portal").server, request.service };
    };
    deliver({ { 0, result("x") } }, start + 100ms);
    for (const auto failure : { PieceFailure::Failed, PieceFailure::InputMissing, PieceFailure::DeadlineExceeded })
        deliver({ { 0, failure } }, start + 110ms);
    cr_assert(fixture.replies.empty());
    cr_assert_eq(fixture.messages.size(), 1, "nothing is requested again");
    deliver({ { 1, result("y") } }, start + 120ms);
    const auto& next = std::get<PieceRequest>(fixture.messages.back().message);
    cr_assert_eq(next.service.value(), "bill");
    cr_assert_eq(next.pieces.at(0).inputs.size(), 2);
}

// A configuration made a stage of a service that was there before; all requests of its routes failed.
Test(Forwarder, serviceThatIsMadeAStageByAConfigurationGetsAQueue)
{
    ForwarderFixture fixture;
    auto changed = table(2);
    for (auto& it : changed->services) {
        if (it.id.value() == "desk")
            it.batch = config::BatchLimits { 1, 2, 10, 200ms, 17ms, 4s, 0 };
    }
    auto added = route("added", config::RetryMode::Allowed, true);
    added.stages = { { ServiceId("desk"), {}, 1000 } };
    changed->routes.push_back(added);
    changed->buildIndex();
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
    fixture.pieces = { 2 };
    fixture.submit("added");
    cr_assert(fixture.replies.empty());
    cr_assert_eq(fixture.batches.size(), 1);
    cr_assert_eq(fixture.batches[0].service.value(), "desk");
}

// A request that waited for a stage kept its queue, whatever later configurations said about the service.
Test(Forwarder, requestsGoOnAfterAConfigurationRemovesTheirServices)
{
    ForwarderFixture fixture;
    fixture.pieces = { 1, 1 };
    fixture.submit("staged");
    auto changed = table(2);
    std::erase_if(changed->services, [](const auto& it) { return it.id.value() != "desk"; });
    std::erase_if(changed->routes, [](const auto& it) { return it.name != "safe"; });
    changed->buildIndex();
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start + 10ms, out); });
    fixture.endBatch(fixture.batches.at(0), start + 217ms);
    fixture.endBatch(fixture.batches.at(1), start + 434ms);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Refused, start + 440ms);
    cr_assert_eq(fixture.sent.size(), 2);
    const auto call = fixture.beginStream(start + 500ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 500ms);
    fixture.endCall(call, ForwardCallOutcome::Complete, start + 600ms);
    cr_assert_eq(fixture.outcomes.at(0), ForwardOutcome::Answered);
}

// The pieces of a stream that went on elsewhere were queued behind those of all new requests, and dropped there.
Test(Forwarder, begunStreamIsNotGivenUpForNewRequestsWhenItsStagesRunAgain)
{
    ForwarderFixture fixture;
    auto changed = table(2);
    changed->credentials["low"] = { ClientAccountId("low"), 2 };
    fixture.collectActions([&](auto& out) { fixture.forwarder->configure(changed, start, out); });
    for (const std::string id : { "m3", "m4", "m5", "m6" })
        fixture.servers.push_back(server(id, "model"));
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    std::size_t ended = 0;
    std::vector<TimePoint> endsAt;
    const auto endBatches = [&](TimePoint now) {
        for (auto it = endsAt.size(); it < fixture.batches.size(); ++it)
            endsAt.push_back(now + 200ms + 17ms * fixture.batches[it].pieces.size());
        for (; ended < endsAt.size() && endsAt[ended] <= now; ++ended)
            fixture.endBatch(SendBatch(fixture.batches[ended]), now);
    };
    constexpr std::size_t begun = 3;
    fixture.pieces = { 8, 1 };
    fixture.credential = "low";
    for (std::size_t i = 0; i < begun; ++i)
        fixture.submit("staged");
    fixture.pieces = { 5, 0 };
    fixture.credential = "key";
    std::vector<CallId> calls;
    for (auto now = start; now < start + 7s; now += 10ms) {
        endBatches(now);
        if (calls.size() < std::min(begun, fixture.sent.size()))
            calls.push_back(fixture.beginStream(now));
        if (now > start + 1500ms && (now - start) % 100ms == 0ms)
            fixture.submit("staged", now);
        for (const auto call : calls) {
            if (now < start + 2500ms)
                fixture.receive(call, "id: 1\ndata: a\n\n", now);
            else if (now == start + 2500ms)
                fixture.endCall(call, ForwardCallOutcome::Broken, now);
        }
        fixture.runTimers(now);
    }
    cr_assert_eq(calls.size(), begun);
    cr_assert(fixture.outcomes.empty(), "a stream broke off");
    const auto resumed = std::count_if(fixture.sent.begin(), fixture.sent.end(),
        [](const SendUpstreamRequest& it) { return it.lastEventId.has_value(); });
    cr_assert_eq(static_cast<std::size_t>(resumed), begun);
}

Test(Forwarder, serverIsSuspectedAfterCallersGiveUpOnItsSilence)
{
    ForwarderFixture fixture;
    fixture.submit("once");
    const auto silent = fixture.sent.at(0).server.id;
    std::size_t disconnects = 0;
    for (int i = 0; i < 12; ++i) {
        const auto now = start + i * 10ms;
        const auto id = fixture.submit("once", now);
        const auto& call = fixture.sent.back();
        if (call.server.id != silent)
            continue;
        ++disconnects;
        fixture.collectActions([&](auto& out) { fixture.forwarder->onCallerDisconnected(id, now + 2s, out); });
        if (disconnects == 2)
            break;
    }
    cr_assert_eq(disconnects, 2);
    const auto before = fixture.sent.size();
    for (int i = 0; i < 12; ++i)
        fixture.submit("once", start + 2200ms);
    for (std::size_t i = before; i < fixture.sent.size(); ++i)
        cr_assert_neq(fixture.sent[i].server.id, silent);
}

Test(Forwarder, callerDisconnectCancelsAllWork)
{
    ForwarderFixture fixture;
    const auto plain = fixture.submit("safe");
    fixture.collectActions([&](auto& out) { fixture.forwarder->onCallerDisconnected(plain, start + 10ms, out); });
    cr_assert_eq(fixture.cancelled.size(), 1);
    fixture.pieces = { 1, 1 };
    const auto staged = fixture.submit("staged", start + 20ms);
    fixture.collectActions([&](auto& out) { fixture.forwarder->onCallerDisconnected(staged, start + 30ms, out); });
    fixture.endBatch(fixture.batches.at(0), start + 240ms);
    cr_assert_eq(fixture.batches.size(), 1);
    cr_assert_eq(fixture.released.size(), 1, "the result of a cancelled request is released");
    cr_assert_eq(fixture.forwarder->status(start).activeRequests, 0);
}

Test(Forwarder, timeoutReportsWhetherTheRequestMayHaveRun)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    fixture.runTimers(start + 8s);
    cr_assert_eq(fixture.replies.at(0).response.status, 504, "the request may have run");
    fixture.servers.clear();
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers({}, start, out); });
    fixture.submit("book", start, 200ms);
    fixture.runTimers(start + 200ms);
    cr_assert_eq(fixture.replies.at(1).response.status, 503, "the request was never sent");
}

Test(Forwarder, requestExpectedToMissItsDeadlineIsRejectedImmediately)
{
    ForwarderFixture fixture;
    fixture.pieces = { 10, 1 };
    for (int i = 0; i < 60; ++i)
        fixture.submit("staged", start, 3s);
    const auto refused = std::count_if(fixture.replies.begin(), fixture.replies.end(),
        [](const SendResponse& it) { return it.outcome == ForwardOutcome::Overloaded; });
    cr_assert_gt(refused, 30);
    for (const auto& it : fixture.replies) {
        cr_assert_eq(it.response.status, 503);
        cr_assert_gt(it.retryAfter, Duration {});
        cr_assert_leq(it.retryAfter, 1s, "Retry-After is at most a third of the caller's timeout");
    }
}

Test(Forwarder, stoppingInstanceRejectsNewRequestsAndFinishesOthers)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    fixture.forwarder->stopAccepting();
    fixture.submit("book", start + 1s);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.replies.at(0).outcome, ForwardOutcome::ShuttingDown);
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Complete, start + 2s);
    cr_assert_eq(fixture.replies.at(1).response.status, 200);
}

Test(Forwarder, requestsInProgressAtTheEndOfAPlannedStopAreEndedTruthfully)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    fixture.submit("plan");
    const auto stream = fixture.beginStream(start + 20ms);
    fixture.receive(stream, "id: 1\ndata: x\n\n", start + 30ms);
    fixture.pieces = { 2 };
    fixture.submit("staged", start + 40ms);
    cr_assert_eq(fixture.batches.size(), 1, "the last request waits for a stage");
    fixture.collectActions([&](auto& out) { fixture.forwarder->endAll(start + 1s, out); });
    std::vector<unsigned> statuses;
    for (const auto& it : fixture.replies)
        statuses.push_back(it.response.status);
    std::sort(statuses.begin(), statuses.end());
    cr_assert(statuses == std::vector<unsigned>({ 502, 503 }), "the booking may have run, the waiting request did not");
    cr_assert(fixture.outcomes == std::vector<ForwardOutcome>({ ForwardOutcome::StreamBroken }));
    fixture.submit("book", start + 1s);
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::ShuttingDown);
    cr_assert_eq(fixture.forwarder->status(start + 1s).activeRequests, 0);
}

// Another operator's instances passed requests on late in a planned stop, and cut them without an answer at its end.
Test(Forwarder, requestsThatCannotBeAnsweredBeforeTheEndOfAPlannedStopAreNotSent)
{
    const auto end = start + 7s;
    ForwarderFixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.submit("once");
        const auto call = fixture.beginStream(start + 20ms);
        fixture.receive(call, "id: 1\ndata: x\n\n", start + 20ms);
        fixture.endCall(call, ForwardCallOutcome::Complete, start + 3s);
    }
    fixture.sent.clear();
    fixture.forwarder->beginShutdown(end);
    fixture.forwarder->confirmCredentials(table()->version, end);
    fixture.submit("once", end - 4s);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.submit("once", end - 2s);
    cr_assert_eq(fixture.sent.size(), 1, "such streams take three seconds");
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::ShuttingDown);
    fixture.submit("plan", end - 2s);
    cr_assert_eq(fixture.sent.size(), 2, "its caller can resume it elsewhere");
    for (const std::string routeName : { "book", "safe", "plan" }) {
        fixture.submit(routeName, end - 20ms);
        cr_assert_eq(fixture.sent.size(), 2);
        cr_assert_eq(fixture.replies.back().response.status, 503);
    }
}

Test(Forwarder, requestThatWaitsIsNotSentAtTheEndOfAPlannedStop)
{
    const auto end = start + 1s;
    ForwarderFixture fixture;
    fixture.pieces = { 1 };
    fixture.submit("staged");
    fixture.forwarder->beginShutdown(end);
    fixture.endBatch(fixture.batches[0], end - 20ms);
    cr_assert(fixture.sent.empty());
    cr_assert_eq(fixture.replies.size(), 1);
    cr_assert_eq(fixture.replies[0].response.status, 503);
}

Test(Forwarder, requestThatMayHaveRunIsNotSentAgainAtTheEndOfAPlannedStop)
{
    const auto end = start + 1s;
    ForwarderFixture fixture;
    fixture.submit("safe");
    fixture.forwarder->beginShutdown(end);
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Broken, end - 20ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.replies.at(0).response.status, 502);
}

Test(Forwarder, serverErrorIsForwardedAfterTheLastAllowedRetry)
{
    ForwarderFixture fixture;
    fixture.submit("safe");
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Complete, start + 20ms, 500);
    cr_assert_eq(fixture.sent.size(), 2, "an idempotent request may run again");
    fixture.endCall(fixture.sent[1].call, ForwardCallOutcome::Complete, start + 40ms, 500);
    cr_assert_eq(fixture.replies.at(0).response.status, 500);
    cr_assert_eq(fixture.replies[0].outcome, ForwardOutcome::Answered);
}

Test(Forwarder, retryIsChargedToTheBudgetOnce)
{
    ForwarderFixture fixture;
    for (int i = 0; i < 200; ++i)
        fixture.servers.push_back(server("more" + std::to_string(i), "desk"));
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    // One instance may use 0.8 of the 50 additional retries and of the 0.2 retries per first call.
    std::size_t retries = 0;
    for (int i = 0; i < 60; ++i) {
        const auto before = fixture.sent.size();
        fixture.submit("safe");
        fixture.endCall(fixture.sent[before].call, ForwardCallOutcome::Complete, start + 1ms, 500);
        retries += fixture.sent.size() - before - 1;
        if (fixture.sent.size() > before + 1)
            fixture.endCall(fixture.sent[before + 1].call, ForwardCallOutcome::Complete, start + 2ms);
    }
    cr_assert_geq(retries, 40);
    cr_assert_leq(retries, 50);
}

// Requests of one kind crashed one server after the other: docs/incidents/2026-12-04-prompts-that-crash-servers.md.
Test(Forwarder, requestsWithAPartThatCrashesServersAreRefused)
{
    ForwarderFixture fixture;
    std::uint64_t last = 100;
    for (int i = 0; i < 3; ++i) {
        const auto now = start + i * 1s;
        fixture.prompt = { { promptPartIdOf(1), 500 }, { promptPartIdOf(666), 300 }, { promptPartIdOf(++last), 10 } };
        fixture.submit("once", now);
        const auto call = fixture.beginStream(now + 100ms);
        fixture.endCall(call, ForwardCallOutcome::Broken, now + 110ms);
    }
    cr_assert_eq(fixture.sent.size(), 3);
    cr_assert_eq(fixture.crashUpdates.size(), 3);

    fixture.submit("once", start + 4s);
    cr_assert_eq(fixture.sent.size(), 3, "must not reach a server");
    cr_assert_eq(fixture.replies.back().response.status, 503);
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::CrashesServers);
    cr_assert(fixture.replies.back().retryAfter > 30s);

    fixture.prompt = { { promptPartIdOf(1), 500 }, { promptPartIdOf(++last), 10 } };
    fixture.submit("once", start + 4s);
    cr_assert_eq(fixture.sent.size(), 4, "sound requests share parts with those that crash servers");
}

// Servers that crashed inside of the head of their response left no record, and the part was never blocked.
Test(Forwarder, crashInsideOfTheHeadIsRecorded)
{
    ForwarderFixture fixture;
    for (int i = 0; i < 3; ++i) {
        fixture.prompt = { { promptPartIdOf(666), 300 }, { promptPartIdOf(100 + i), 10 } };
        fixture.submit("once", start + i * 1s);
        fixture.endCall(fixture.sent.back().call, ForwardCallOutcome::BrokenInHead, start + i * 1s + 110ms);
        cr_assert_eq(fixture.replies.back().response.status, 502, "the request may have run");
    }
    fixture.submit("once", start + 4s);
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::CrashesServers);
    cr_assert_eq(fixture.sent.size(), 3);
}

Test(Forwarder, streamThatCrashesServersIsNotSentToAnotherOnceItIsKnown)
{
    ForwarderFixture fixture;
    fixture.prompt = { { promptPartIdOf(666), 300 }, { promptPartIdOf(7), 10 } };
    fixture.submit("plan");
    const WallTime epoch {};
    fixture.forwarder->setCrashRecords({ { promptPartIdOf(666), BackendServerId("x1"), 1, epoch },
                                           { promptPartIdOf(666), BackendServerId("x2"), 1, epoch + 1s } },
        start);
    const auto call = fixture.beginStream(start + 1500ms);
    fixture.endCall(call, ForwardCallOutcome::Broken, start + 1600ms);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.outcomes.size(), 1);
    cr_assert_eq(fixture.outcomes[0], ForwardOutcome::StreamBroken);
}

Test(Forwarder, brokenStreamsAfterTheirFirstEventAreNoCrashRecords)
{
    ForwarderFixture fixture;
    fixture.prompt = { { promptPartIdOf(1), 500 }, { promptPartIdOf(2), 10 } };
    fixture.submit("once");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\n", start + 120ms);
    fixture.endCall(call, ForwardCallOutcome::Broken, start + 150ms);
    cr_assert(fixture.crashUpdates.empty());
}

// A response without a length ends with its connection, also when its server breaks it off.
Test(Forwarder, streamThatEndsInsideAnEventIsResumed)
{
    ForwarderFixture fixture;
    fixture.submit("plan");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, "id: 1\ndata: a\n\nid: 2\nda", start + 120ms);
    fixture.endCall(call, ForwardCallOutcome::Complete, start + 150ms);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_eq(fixture.sent[1].lastEventId.value(), 1);
    cr_assert(fixture.outcomes.empty());
}

// A server that had nothing left to send was taken for one that crashed on the prompt.
Test(Forwarder, emptyRestOfAStreamIsNoCrashRecord)
{
    ForwarderFixture fixture;
    fixture.prompt = { { promptPartIdOf(1), 100 }, { promptPartIdOf(2), 10 } };
    fixture.submit("plan");
    const auto first = fixture.beginStream(start + 100ms);
    fixture.receive(first, "id: 1\ndata: a\n\n", start + 120ms);
    fixture.endCall(first, ForwardCallOutcome::Broken, start + 150ms);
    cr_assert_eq(fixture.sent.size(), 2);
    const auto second = fixture.beginStream(start + 200ms);
    fixture.endCall(second, ForwardCallOutcome::Undelimited, start + 210ms);
    cr_assert(fixture.crashUpdates.empty());
}

Test(Forwarder, streamWithoutEventsIsNoWholeResponse)
{
    ForwarderFixture fixture;
    fixture.submit("once");
    const auto call = fixture.beginStream(start + 100ms);
    fixture.receive(call, ": comment\n\n", start + 120ms);
    fixture.endCall(call, ForwardCallOutcome::Complete, start + 150ms);
    cr_assert_eq(fixture.outcomes.size(), 1);
    cr_assert_eq(fixture.outcomes[0], ForwardOutcome::StreamBroken);
}

Test(Forwarder, serverThatSaysThatItLeavesGetsNoNewCalls)
{
    ForwarderFixture fixture;
    fixture.servers[0].startedAt = WallTime(4s);
    fixture.servers[1].startedAt = WallTime(4s);
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    const auto signal = [&](std::size_t i, const ServerSignal& it) {
        fixture.collectActions(
            [&](auto& out) { fixture.forwarder->onServerSignal(fixture.servers[i].server, it, start, out); });
    };
    signal(0, { true, {}, false });
    signal(0, { true, {}, false });
    cr_assert_eq(fixture.leaving.size(), 1, "told to the other instances once");
    for (int i = 0; i < 8; ++i) {
        fixture.submit("book");
        cr_assert_eq(fixture.sent.back().server.id.value(), "d2");
        fixture.endCall(fixture.sent.back().call, ForwardCallOutcome::Complete, start + 20ms);
    }
    // The store repeats the entry as it was, also after an outage; another process under the id is a new server.
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers({ fixture.servers[1] }, start, out); });
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start + 3s, out); });
    signal(1, { true, {}, false });
    fixture.submit("book", start + 3s);
    cr_assert_eq(fixture.sent.size(), 8, "both leave");
    fixture.servers[0].startedAt = WallTime(5s);
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start + 4s, out); });
    fixture.submit("book", start + 4s);
    cr_assert_eq(fixture.sent.back().server.id.value(), "d1");
}

Test(Forwarder, serverWithoutAStartTimeReturnsWithAnotherAddressOrEntry)
{
    ForwarderFixture fixture;
    const auto announce = [&](const std::vector<AnnouncedServer>& servers) {
        fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(servers, start, out); });
    };
    const auto isCalled = [&](const std::string& id) {
        fixture.submit("book");
        const auto last = fixture.sent.empty() ? "" : fixture.sent.back().server.id.value();
        fixture.endCall(fixture.sent.back().call, ForwardCallOutcome::Complete, start + 20ms);
        return last == id;
    };
    auto d1 = fixture.servers[0];
    announce({ d1, fixture.servers[1] });
    fixture.forwarder->onServerLeaving({ d1.server.id, WallTime {} }, start);
    cr_assert(!isCalled("d1"));
    ++d1.server.port;
    announce({ d1 });
    cr_assert(isCalled("d1"));
    fixture.forwarder->onServerLeaving({ d1.server.id, WallTime {} }, start);
    announce({ fixture.servers[1] });
    announce({ d1 });
    cr_assert(isCalled("d1"));
}

Test(Forwarder, serverAtTheAddressOfAnotherIsTheOneThatLeaves)
{
    ForwarderFixture fixture;
    auto called = fixture.servers[0].server;
    called.id = BackendServerId("gone");
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onServerSignal(called, { true, {}, true }, start, out);
    });
    fixture.submit("book");
    cr_assert_eq(fixture.sent.back().server.id.value(), "d2");
}

Test(Forwarder, serverOfWhichAnotherInstanceSaysThatItLeavesGetsNoNewCalls)
{
    ForwarderFixture fixture;
    fixture.servers[1].startedAt = WallTime(7s);
    fixture.collectActions([&](auto& out) { fixture.forwarder->setServers(fixture.servers, start, out); });
    fixture.forwarder->onServerLeaving({ BackendServerId("d1"), WallTime {} }, start);
    fixture.forwarder->onServerLeaving({ BackendServerId("d2"), WallTime(6s) }, start);
    fixture.submit("book");
    cr_assert_eq(fixture.sent.back().server.id.value(), "d2", "the notice is about a process before it");
}

Test(Forwarder, serverThatAskedForAPauseGetsNoCallsUntilItsEnd)
{
    ForwarderFixture fixture;
    const auto pause = [&](std::size_t i, Duration d) {
        fixture.collectActions([&](auto& out) {
            fixture.forwarder->onServerSignal(fixture.servers[i].server, { false, d, false }, start, out);
        });
    };
    const auto submitAll = [&](TimePoint now) {
        std::map<std::string, int> sent;
        for (int i = 0; i < 20; ++i) {
            const auto before = fixture.sent.size();
            fixture.submit("book", now);
            if (fixture.sent.size() > before)
                ++sent[fixture.sent.back().server.id.value()];
        }
        return sent;
    };
    pause(0, 2s);
    for (const auto d : { 0ms, 600ms, 1900ms })
        cr_assert(!submitAll(start + d).contains("d1"));
    cr_assert_eq(submitAll(start + 2s)["d1"], 1, "calls return spread, not at once");
    pause(0, 5s);
    pause(1, 3s);
    const auto answered = fixture.replies.size();
    cr_assert(submitAll(start + 1s).empty());
    cr_assert_eq(fixture.replies.size(), answered + 20, "rejected at once");
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::ServersPaused);
    cr_assert_eq(fixture.replies.back().response.status, 503);
    cr_assert_eq(fixture.replies.back().retryAfter, 2s, "until the first server accepts calls again");
}

Test(Forwarder, requestRejectedByAPausedServerGoesToAnother)
{
    ForwarderFixture fixture;
    fixture.submit("book");
    const auto first = fixture.sent[0];
    fixture.collectActions([&](auto& out) {
        fixture.forwarder->onServerSignal(first.server, { false, 30s, false }, start, out);
    });
    fixture.endCall(first.call, ForwardCallOutcome::Refused, start + 10ms, 503);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert_neq(fixture.sent[1].server.id, first.server.id);
}

// Requests that may run once were refused for good when each server of their service had failed once, since only
// requests that may be repeated try a suspected server.
Test(Forwarder, serversAreCheckedForRequestsThatMayRunOnce)
{
    for (const std::string routeName : { "book", "once" }) {
        for (const auto outcome : { ForwardCallOutcome::Broken, ForwardCallOutcome::TimedOut }) {
            ForwarderFixture fixture;
            failAllServers(fixture, routeName, outcome);
            fixture.submit(routeName, start + 1s);
            cr_assert(fixture.sent.empty());
            cr_assert_eq(fixture.checks.size(), 1U);
            fixture.forwarder->onServerChecked(fixture.checks[0], true, start + 1020ms);
            fixture.runTimers(start + 1030ms);
            cr_assert_eq(fixture.sent.size(), 1U);
            cr_assert_eq(fixture.sent[0].server.id, fixture.checks[0].server.id);
            fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Complete, start + 1050ms);
            cr_assert_eq(fixture.replies.back().response.status, 200);
        }
    }
}

Test(Forwarder, requestsThatMayBeRepeatedTrySuspectedServersThemselves)
{
    ForwarderFixture fixture;
    failAllServers(fixture, "book", ForwardCallOutcome::Broken);
    fixture.submit("safe", start + 1s);
    cr_assert(fixture.checks.empty());
    cr_assert_eq(fixture.sent.size(), 1U);
}

Test(Forwarder, checksArePacedAndDrawOnTheRetryBudget)
{
    ForwarderOptions options;
    options.retryBudgetReserve = 4;
    options.retryBudgetFraction = 0;
    ForwarderFixture fixture(options);
    failAllServers(fixture, "book", ForwardCallOutcome::Broken);
    // The margin of the budget leaves three; a fourth check is sent when none was sent for a window.
    std::vector<Duration> sentAfter;
    for (Duration after = 1s; after < 30s; after += 10ms) {
        fixture.forwarder->confirmCredentials(table()->version, start + after);
        fixture.submit("book", start + after);
        for (const auto& it : fixture.checks) {
            sentAfter.push_back(after);
            fixture.forwarder->onServerChecked(it, false, start + after);
        }
        fixture.checks.clear();
    }
    cr_assert(fixture.sent.empty());
    for (std::size_t i = 1; i < sentAfter.size(); ++i)
        cr_assert_geq(sentAfter[i] - sentAfter[i - 1], Duration(100ms));
    const auto within = [&](Duration from, Duration to) {
        return std::count_if(sentAfter.begin(), sentAfter.end(), [&](Duration it) { return it >= from && it < to; });
    };
    cr_assert_eq(within(0s, 11s), 3);
    cr_assert_geq(within(11s, 30s), 1);
    cr_assert_leq(within(11s, 21s), 4);
}

Test(Forwarder, checksGoOnWithoutAnyRetryBudget)
{
    ForwarderOptions options;
    options.retryBudgetReserve = 0;
    options.retryBudgetFraction = 0;
    ForwarderFixture fixture(options);
    failAllServers(fixture, "book", ForwardCallOutcome::Broken);
    std::size_t checks = 0;
    for (Duration after = 1s; after < 60s; after += 100ms) {
        fixture.forwarder->confirmCredentials(table()->version, start + after);
        fixture.submit("book", start + after);
        for (const auto& it : fixture.checks)
            fixture.forwarder->onServerChecked(it, false, start + after);
        checks += std::exchange(fixture.checks, {}).size();
    }
    cr_assert_geq(checks, 4U);
    cr_assert_leq(checks, 6U);
}

// The stages ran again although the inputs of the request still existed: only results that later stages had read were
// released.
Test(Forwarder, requestThatIsSentAgainBeforeItsResponseBeganKeepsItsInputs)
{
    ForwarderFixture fixture;
    fixture.pieces = { 1, 1 };
    fixture.submit("staged");
    fixture.endBatch(fixture.batches.at(0), start + 100ms);
    fixture.endBatch(fixture.batches.at(1), start + 200ms);
    cr_assert_eq(fixture.released.size(), 1, "the result that the second stage has read");
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.endCall(fixture.sent[0].call, ForwardCallOutcome::Broken, start + 300ms);
    cr_assert_eq(fixture.batches.size(), 2);
    cr_assert_eq(fixture.sent.size(), 2);
    cr_assert(fixture.sent[1].inputs == fixture.sent[0].inputs);
}

// One failed call with more pieces of a stage than a fixed number ended the request.
Test(Forwarder, allPiecesOfAFailedCallAreRequestedAgain)
{
    ForwarderFixture fixture;
    fixture.pieces = { 8 };
    fixture.submit("staged");
    cr_assert_eq(fixture.batches.at(0).pieces.size(), 8);
    const auto failed = std::exchange(fixture.batches, {})[0].call;
    fixture.collectActions(
        [&](auto& out) { fixture.forwarder->onBatchEnd(failed, BatchOutcome::Broken, {}, start + 100ms, out); });
    cr_assert(fixture.replies.empty());
    for (Duration after = 200ms; fixture.sent.empty() && after < 2s; after += 100ms) {
        fixture.runTimers(start + after);
        for (const auto& it : std::exchange(fixture.batches, {}))
            fixture.endBatch(it, start + after);
    }
    cr_assert_eq(fixture.sent.size(), 1);
}

// The settings named a shorter bound, and a removed key was used until the old one.
Test(Forwarder, shorterMaximumAgeOfCredentialsHoldsAtOnce)
{
    ForwarderFixture fixture;
    fixture.submit("book", start + 3s);
    cr_assert_eq(fixture.sent.size(), 1);
    fixture.forwarder->setCredentialMaxAge(2s);
    fixture.submit("book", start + 3s);
    cr_assert_eq(fixture.sent.size(), 1);
    cr_assert_eq(fixture.replies.back().outcome, ForwardOutcome::CredentialsOutdated);
    cr_assert(!fixture.forwarder->status(start + 3s).credentialsCurrent);
}

namespace {

/// Sends 20 requests after another instance has reported that `busy` is overloaded; returns how many it gets.
/// @param load Reported by a server to this instance before.
std::size_t countSentTo(const BackendServerId& busy, SchedulingMode mode, const ReportedLoad& load)
{
    ForwarderOptions options;
    options.scheduling = mode;
    ForwarderFixture fixture(options);
    fixture.prompt = { { promptPartIdOf(1), 100 }, { promptPartIdOf(2), 200 } };
    fixture.submit("plan");
    fixture.forwarder->onLoadReport(fixture.sent[0].call, load, start);
    fixture.forwarder->onSharedLoads({ { hashOf(busy.value()), 500, 90, 1, 5ms } }, start + 10ms);
    fixture.sent.clear();
    for (int i = 0; i < 20; ++i)
        fixture.submit("plan", start + 10ms);
    return static_cast<std::size_t>(
        std::count_if(fixture.sent.begin(), fixture.sent.end(), [&](const auto& it) { return it.server.id == busy; }));
}

} // namespace

// Load that other instances saw must move requests where scheduling is on, and change nothing where it is off.
Test(Forwarder, sharedLoadMovesRequestsWhereSchedulingIsOn)
{
    for (const auto* name : { "m1", "m2" }) {
        const BackendServerId busy(name);
        cr_assert_eq(countSentTo(busy, SchedulingMode::On, { 1, 0 }), 0);
        cr_assert_eq(countSentTo(busy, SchedulingMode::WhereReported, { 1, 0, 1.5 }), 0);
    }
    const auto off = [](const char* name, SchedulingMode mode) {
        return countSentTo(BackendServerId(name), mode, { 1, 0 });
    };
    cr_assert_eq(off("m1", SchedulingMode::Off) + off("m2", SchedulingMode::Off), 20);
    cr_assert_eq(off("m1", SchedulingMode::WhereReported) + off("m2", SchedulingMode::WhereReported), 20);
}

// Messages between instances must stay as they were where scheduling is off.
Test(Forwarder, loadIsSharedOnlyWhereSchedulingIsOn)
{
    for (const auto mode : { SchedulingMode::Off, SchedulingMode::WhereReported, SchedulingMode::On }) {
        ForwarderOptions options;
        options.scheduling = mode;
        ForwarderFixture fixture(options);
        fixture.submit("plan");
        fixture.forwarder->onLoadReport(fixture.sent[0].call, { 3, 1 }, start);
        const auto reports = fixture.forwarder->loadReports(start + 100ms);
        cr_assert_eq(reports.size(), mode == SchedulingMode::On ? 1 : 0);
        const auto loads = fixture.forwarder->serviceLoads(start);
        cr_assert_eq(loads.empty(), mode != SchedulingMode::On);
        if (mode != SchedulingMode::On)
            continue;
        cr_assert_eq(reports[0].age, 100ms);
        cr_assert(std::any_of(loads.begin(), loads.end(), [](const auto& it) { return it.callsAtFullServers == 1; }));
    }
}
