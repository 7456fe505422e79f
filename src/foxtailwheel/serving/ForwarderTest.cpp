#include "foxtailwheel/serving/Forwarder.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace foxtailwheel;
using namespace std::chrono_literals;
using namespace foxtailwheel::serving;

namespace {

constexpr TimePoint start { 1h };

config::Route route(const std::string& name, config::Repeat repeat, bool streams)
{
    config::Route out;
    out.name = name;
    out.host = "h.example";
    out.prefix = "/" + name + "/";
    out.repeat = repeat;
    out.streams = streams;
    out.resumable = streams && repeat == config::Repeat::Freely;
    out.timeLimit = 8s;
    out.goal = 1s;
    out.maxServers = 2;
    out.targets = { { ServiceId(streams ? "model" : "desk"), 1 } };
    return out;
}

std::shared_ptr<config::RouteTable> table(std::uint64_t version = 1)
{
    auto out = std::make_shared<config::RouteTable>();
    out->version = version;
    out->routes = { route("safe", config::Repeat::Freely, false), route("book", config::Repeat::Never, false),
        route("plan", config::Repeat::Freely, true), route("once", config::Repeat::Never, true) };
    auto staged = route("staged", config::Repeat::Freely, true);
    staged.stages = { { ServiceId("portal"), {}, 1000 }, { ServiceId("bill"), { 0 }, 100 } };
    out->routes.push_back(staged);
    const config::BatchLimits batch { 1, 2, 10, 200ms, 17ms, 4s, 0 };
    out->services = { { ServiceId("desk"), std::nullopt, 6, 0 }, { ServiceId("model"), std::nullopt, 64, 1000 },
        { ServiceId("portal"), batch, 0, 0 }, { ServiceId("bill"), batch, 0, 0 } };
    out->needsCredentials = true;
    out->credentials = { { "key", { ClientAccountId("account"), std::nullopt } } };
    out->index();
    return out;
}

AnnouncedServer server(const std::string& id, const std::string& service, const std::string& zone = "a")
{
    static std::uint16_t port = 9000;
    return { { BackendServerId(id), "127.0.0.1", ++port, AvailabilityZoneId(zone) }, ServiceId(service), false, 6 };
}

struct World {
    World()
    {
        ForwarderOptions options;
        options.pools.self = InstanceId("i");
        options.pools.zone = AvailabilityZoneId("a");
        forwarder = Forwarder::create(options);
        run([&](auto& out) { forwarder->configure(table(), start, out); });
        forwarder->confirmCredentials(start);
        servers = { server("d1", "desk"), server("d2", "desk"), server("m1", "model"), server("m2", "model"),
            server("p1", "portal"), server("b1", "bill") };
        run([&](auto& out) { forwarder->setServers(servers, start, out); });
    }

    ForwardId submit(const std::string& name, TimePoint now = start, Duration left = 8s)
    {
        ForwardRequest request;
        request.name = "r" + std::to_string(++asked);
        request.host = "h.example";
        request.message = { "POST", "/" + name + "/x", {}, "body" };
        request.credential = credential;
        request.timeLeft = left;
        request.pieces = pieces;
        request.pieceKey = "k";
        const auto id = forwarder->newRequest();
        run([&](auto& out) { forwarder->submit(id, std::move(request), now, out); });
        return id;
    }

    void end(CallId call, ForwardCallEnd end, TimePoint now, unsigned status = 200)
    {
        run([&](auto& out) { forwarder->onEnd(call, end, { status, {}, "answer" }, now, out); });
    }

    void endBatch(const SendBatch& batch, TimePoint now)
    {
        std::vector<PieceResult> results;
        for (const auto& it : batch.pieces)
            results.emplace_back(
                ResultHandle { batch.service.value() + "/" + std::to_string(it.index) + "/" + std::to_string(++handles),
                    batch.server });
        run([&](auto& out) { forwarder->onBatchEnd(batch.call, BatchEnd::Answered, results, now, out); });
    }

    void time(TimePoint now)
    {
        run([&](auto& out) { forwarder->onTime(now, out); });
    }

    template <class Work> void run(Work work)
    {
        ForwardActions actions;
        work(actions);
        for (auto& it : actions) {
            if (auto* send = std::get_if<SendForward>(&it))
                sent.push_back(*send);
            else if (auto* stop = std::get_if<StopForward>(&it))
                stopped.push_back(stop->call);
            else if (auto* batch = std::get_if<SendBatch>(&it))
                batches.push_back(*batch);
            else if (auto* whole = std::get_if<ReplyWhole>(&it))
                replies.push_back(*whole);
            else if (auto* bytes = std::get_if<ReplyBytes>(&it))
                streamed += bytes->bytes;
            else if (auto* ended = std::get_if<ReplyEnd>(&it))
                ends.push_back(ended->end);
            else if (auto* release = std::get_if<ReleaseResults>(&it))
                released.insert(released.end(), release->handles.begin(), release->handles.end());
        }
    }

    std::unique_ptr<Forwarder> forwarder;
    std::vector<AnnouncedServer> servers;
    std::string credential = "key";
    std::vector<std::uint32_t> pieces;
    std::size_t asked = 0;
    std::size_t handles = 0;
    std::vector<SendForward> sent;
    std::vector<CallId> stopped;
    std::vector<SendBatch> batches;
    std::vector<ReplyWhole> replies;
    std::string streamed;
    std::vector<ForwardEnd> ends;
    std::vector<std::string> released;
};

} // namespace

Test(Forwarder, anAnswerIsPassedOnAsItIs)
{
    World world;
    world.submit("book");
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.sent[0].message.body, "body");
    cr_assert_eq(world.sent[0].account.value(), "account");
    world.end(world.sent[0].call, ForwardCallEnd::Complete, start + 20ms, 500);
    cr_assert_eq(world.replies.size(), 1);
    cr_assert_eq(world.replies[0].response.status, 500);
    cr_assert_eq(world.replies[0].response.body, "answer");
}

Test(Forwarder, whatMayRunOnceIsNeverSentAgainOnceItMayHaveRun)
{
    for (const auto end : { ForwardCallEnd::Broken, ForwardCallEnd::TimedOut }) {
        for (const std::string name : { "book", "once" }) {
            World world;
            world.submit(name);
            world.end(world.sent[0].call, end, start + 20ms);
            world.time(start + 2s);
            cr_assert_eq(world.sent.size(), 1);
            cr_assert_eq(world.replies.size(), 1);
            cr_assert_geq(world.replies[0].response.status, 502);
            cr_assert_neq(world.replies[0].response.status, 503, "503 would promise that it did not run");
        }
    }
}

Test(Forwarder, whatDidNotRunGoesToAnotherServer)
{
    for (const auto end : { ForwardCallEnd::NotSent, ForwardCallEnd::Refused, ForwardCallEnd::Misdirected }) {
        World world;
        world.submit("book");
        world.end(world.sent[0].call, end, start + 5ms);
        cr_assert_eq(world.sent.size(), 2);
        cr_assert_neq(world.sent[1].server.id, world.sent[0].server.id);
    }
}

Test(Forwarder, aRefusalByAllServersIsARefusalToTheCaller)
{
    World world;
    world.submit("book");
    for (std::size_t i = 0; i < world.sent.size() && i < 10; ++i)
        world.end(world.sent[i].call, ForwardCallEnd::Refused, start + 5ms * (i + 1));
    cr_assert_leq(world.sent.size(), 4);
    cr_assert_eq(world.replies.at(0).response.status, 503);
    cr_assert_gt(world.replies[0].retryAfter, Duration {});
}

Test(Forwarder, aBrokenIdempotentCallGoesToAnotherServerWithinTheRoutesBound)
{
    World world;
    world.submit("safe");
    world.end(world.sent[0].call, ForwardCallEnd::Broken, start + 20ms);
    cr_assert_eq(world.sent.size(), 2);
    world.end(world.sent[1].call, ForwardCallEnd::Broken, start + 40ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(world.replies.at(0).response.status, 502);
}

Test(Forwarder, aSilentSafeCallIsAskedForAtASecondServerAndTheFirstAnswerCounts)
{
    World world;
    world.submit("safe");
    world.time(start + 500ms);
    cr_assert_eq(world.sent.size(), 2);
    world.end(world.sent[1].call, ForwardCallEnd::Complete, start + 520ms);
    cr_assert_eq(world.replies.size(), 1);
    cr_assert_eq(world.stopped.size(), 1);
    cr_assert_eq(world.stopped[0], world.sent[0].call);
}

Test(Forwarder, withoutARecentConfirmationCredentialsAreNeitherTakenNorDenied)
{
    World world;
    world.submit("book", start + 4400ms);
    cr_assert_eq(world.sent.size(), 1);
    world.submit("book", start + 4600ms);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.replies.at(0).response.status, 503);
    world.credential = "wrong";
    world.submit("book", start + 4700ms);
    cr_assert_eq(world.replies.at(1).response.status, 503, "an unknown key may be a new one");
    world.submit("book", start + 1s);
    cr_assert_eq(world.replies.at(2).response.status, 401);
}

Test(Forwarder, withoutAConfigurationNothingIsSaidOfRoutes)
{
    const auto forwarder = Forwarder::create({});
    ForwardActions actions;
    forwarder->submit(forwarder->newRequest(), {}, start, actions);
    cr_assert_eq(std::get<ReplyWhole>(actions.at(0)).response.status, 503);
}

Test(Forwarder, anOlderConfigurationIsIgnored)
{
    World world;
    ForwardActions actions;
    cr_assert(world.forwarder->configure(table(5), start, actions));
    cr_assert(!world.forwarder->configure(table(4), start, actions));
    cr_assert_eq(world.forwarder->table()->version, 5);
}

Test(Forwarder, leavingServersGetNothingNew)
{
    World world;
    world.servers[0].leaving = true;
    world.run([&](auto& out) { world.forwarder->setServers(world.servers, start, out); });
    for (int i = 0; i < 20; ++i)
        world.submit("book");
    cr_assert_eq(world.sent.size(), 20);
    for (const auto& it : world.sent)
        cr_assert_eq(it.server.id.value(), "d2");
}

Test(Forwarder, aBrokenStreamGoesOnFromItsLastWholeEvent)
{
    World world;
    world.submit("plan");
    const auto first = world.sent.at(0).call;
    world.run([&](auto& out) { world.forwarder->onHead(first, { 200, {}, {} }, start + 100ms, out); });
    world.run([&](auto& out) {
        world.forwarder->onData(first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", start + 110ms, out);
    });
    world.end(first, ForwardCallEnd::Broken, start + 120ms);
    cr_assert_eq(world.sent.size(), 2);
    cr_assert_eq(*world.sent[1].lastEventId, 2);
    const auto second = world.sent[1].call;
    world.run([&](auto& out) { world.forwarder->onHead(second, { 200, {}, {} }, start + 200ms, out); });
    world.run([&](auto& out) {
        world.forwarder->onData(second, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", start + 210ms, out);
    });
    world.end(second, ForwardCallEnd::Complete, start + 220ms);
    cr_assert_eq(world.streamed, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    cr_assert_eq(world.ends.at(0), ForwardEnd::Answered);
}

Test(Forwarder, aStreamThatMayNotBeResumedIsBrokenOffRatherThanJoined)
{
    World world;
    world.submit("once");
    const auto call = world.sent.at(0).call;
    world.run([&](auto& out) { world.forwarder->onHead(call, { 200, {}, {} }, start + 100ms, out); });
    world.run([&](auto& out) { world.forwarder->onData(call, "id: 1\ndata: a\n\n", start + 110ms, out); });
    world.end(call, ForwardCallEnd::Broken, start + 120ms);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.ends.at(0), ForwardEnd::StreamBroken);
}

Test(Forwarder, aStreamThatEndsWithinAnEventIsNotWhole)
{
    World world;
    world.submit("once");
    const auto call = world.sent.at(0).call;
    world.run([&](auto& out) { world.forwarder->onHead(call, { 200, {}, {} }, start + 100ms, out); });
    world.run([&](auto& out) { world.forwarder->onData(call, "id: 1\ndata: a", start + 110ms, out); });
    world.end(call, ForwardCallEnd::Complete, start + 120ms);
    cr_assert_eq(world.streamed, "");
    cr_assert_eq(world.ends.at(0), ForwardEnd::StreamBroken);
}

Test(Forwarder, aStreamIsMovedOnlyAfterItsSilentCallIsStopped)
{
    World world;
    world.submit("plan");
    const auto first = world.sent.at(0).call;
    world.run([&](auto& out) { world.forwarder->onHead(first, { 200, {}, {} }, start + 100ms, out); });
    world.time(start + 1300ms);
    cr_assert_eq(world.stopped.at(0), first);
    cr_assert_eq(world.sent.size(), 2);
}

Test(Forwarder, stagesRunInOrderAndTheRequestTakesTheLastResults)
{
    World world;
    world.pieces = { 2, 3 };
    world.submit("staged");
    cr_assert_eq(world.sent.size(), 0);
    cr_assert_eq(world.batches.at(0).service.value(), "portal");
    cr_assert_eq(world.batches[0].pieces[0].key, "k");
    world.endBatch(world.batches[0], start + 234ms);
    cr_assert_eq(world.batches.at(1).service.value(), "bill");
    cr_assert_eq(world.batches[1].pieces.size(), 3);
    cr_assert_eq(world.batches[1].pieces[0].inputs.size(), 2, "each piece takes all results of the stage before");
    world.endBatch(world.batches[1], start + 500ms);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.sent[0].inputs.size(), 3);
    cr_assert_eq(world.released.size(), 2, "results that no stage needs any more are released");
    world.run([&](auto& out) { world.forwarder->onHead(world.sent[0].call, { 200, {}, {} }, start + 600ms, out); });
    cr_assert_eq(world.released.size(), 5, "the first event shows that the inputs were read");
}

Test(Forwarder, aStageIsMadeInTheZoneOfTheResultsThatItTakes)
{
    World world;
    world.servers
        = { server("m1", "model"), server("p1", "portal", "b"), server("b1", "bill"), server("b2", "bill", "b") };
    world.run([&](auto& out) { world.forwarder->setServers(world.servers, start, out); });
    for (std::size_t i = 0; i < 6; ++i) {
        world.pieces = { 2, 3 };
        world.submit("staged", start + i * 700ms);
        world.endBatch(world.batches.at(2 * i), start + i * 700ms + 234ms);
        cr_assert_eq(world.batches.at(2 * i + 1).server.id.value(), "b2");
        world.endBatch(world.batches[2 * i + 1], start + i * 700ms + 500ms);
    }
}

Test(Forwarder, aStageWithoutPiecesIsLeftOut)
{
    World world;
    world.pieces = { 0, 0 };
    world.submit("staged");
    cr_assert_eq(world.batches.size(), 0);
    cr_assert_eq(world.sent.size(), 1);
}

Test(Forwarder, aResultThatIsGoneIsMadeAgain)
{
    World world;
    world.pieces = { 1, 1 };
    world.submit("staged");
    world.endBatch(world.batches.at(0), start + 217ms);
    world.endBatch(world.batches.at(1), start + 434ms);
    world.end(world.sent.at(0).call, ForwardCallEnd::InputGone, start + 440ms);
    cr_assert_eq(world.batches.size(), 3);
    cr_assert_eq(world.batches[2].service.value(), "portal");
}

Test(Forwarder, aServerThatCallersLeaveWithoutAnAnswerIsSuspected)
{
    World world;
    world.submit("once");
    const auto silent = world.sent.at(0).server.id;
    std::size_t left = 0;
    for (int i = 0; i < 12; ++i) {
        const auto now = start + i * 10ms;
        const auto id = world.submit("once", now);
        const auto& call = world.sent.back();
        if (call.server.id != silent)
            continue;
        ++left;
        world.run([&](auto& out) { world.forwarder->onCallerLeft(id, now + 2s, out); });
        if (left == 2)
            break;
    }
    cr_assert_eq(left, 2);
    const auto before = world.sent.size();
    for (int i = 0; i < 12; ++i)
        world.submit("once", start + 2200ms);
    for (std::size_t i = before; i < world.sent.size(); ++i)
        cr_assert_neq(world.sent[i].server.id, silent);
}

Test(Forwarder, aCallerThatLeavesEndsAllWork)
{
    World world;
    const auto plain = world.submit("safe");
    world.run([&](auto& out) { world.forwarder->onCallerLeft(plain, start + 10ms, out); });
    cr_assert_eq(world.stopped.size(), 1);
    world.pieces = { 1, 1 };
    const auto staged = world.submit("staged", start + 20ms);
    world.run([&](auto& out) { world.forwarder->onCallerLeft(staged, start + 30ms, out); });
    world.endBatch(world.batches.at(0), start + 240ms);
    cr_assert_eq(world.batches.size(), 1);
    cr_assert_eq(world.released.size(), 1, "a result that nobody waits for is released");
    cr_assert_eq(world.forwarder->status(start).requests, 0);
}

Test(Forwarder, theTimeLimitEndsARequestWithWhatIsTrue)
{
    World world;
    world.submit("book");
    world.time(start + 8s);
    cr_assert_eq(world.replies.at(0).response.status, 504, "it may have run");
    world.servers.clear();
    world.run([&](auto& out) { world.forwarder->setServers({}, start, out); });
    world.submit("book", start, 200ms);
    world.time(start + 200ms);
    cr_assert_eq(world.replies.at(1).response.status, 503, "it never left");
}

Test(Forwarder, whatCannotBeServedInTimeIsRefusedAtOnce)
{
    World world;
    world.pieces = { 10, 1 };
    for (int i = 0; i < 60; ++i)
        world.submit("staged", start, 3s);
    const auto refused = std::count_if(world.replies.begin(), world.replies.end(),
        [](const ReplyWhole& it) { return it.end == ForwardEnd::Overloaded; });
    cr_assert_gt(refused, 30);
    for (const auto& it : world.replies) {
        cr_assert_eq(it.response.status, 503);
        cr_assert_gt(it.retryAfter, Duration {});
        cr_assert_leq(it.retryAfter, 1s, "a third of the caller's time");
    }
}

Test(Forwarder, aStoppingInstanceRefusesWhatIsNewAndEndsWhatItHas)
{
    World world;
    world.submit("book");
    world.forwarder->stopAccepting();
    world.submit("book", start + 1s);
    cr_assert_eq(world.sent.size(), 1);
    cr_assert_eq(world.replies.at(0).end, ForwardEnd::ShuttingDown);
    world.end(world.sent[0].call, ForwardCallEnd::Complete, start + 2s);
    cr_assert_eq(world.replies.at(1).response.status, 200);
}

Test(Forwarder, aServersOwnFailureIsPassedOnWhereNoOtherServerMayBeAsked)
{
    World world;
    world.submit("safe");
    world.end(world.sent[0].call, ForwardCallEnd::Complete, start + 20ms, 500);
    cr_assert_eq(world.sent.size(), 2, "a safe request may run again");
    world.end(world.sent[1].call, ForwardCallEnd::Complete, start + 40ms, 500);
    cr_assert_eq(world.replies.at(0).response.status, 500);
    cr_assert_eq(world.replies[0].end, ForwardEnd::Answered);
}

Test(Forwarder, aRepeatTakesTheBudgetOnce)
{
    World world;
    for (int i = 0; i < 200; ++i)
        world.servers.push_back(server("more" + std::to_string(i), "desk"));
    world.run([&](auto& out) { world.forwarder->setServers(world.servers, start, out); });
    // One instance may repeat 0.8 of 50 calls and of 0.2 for each first one.
    std::size_t repeats = 0;
    for (int i = 0; i < 60; ++i) {
        const auto before = world.sent.size();
        world.submit("safe");
        world.end(world.sent[before].call, ForwardCallEnd::Complete, start + 1ms, 500);
        repeats += world.sent.size() - before - 1;
        if (world.sent.size() > before + 1)
            world.end(world.sent[before + 1].call, ForwardCallEnd::Complete, start + 2ms);
    }
    cr_assert_geq(repeats, 40);
    cr_assert_leq(repeats, 50);
}
