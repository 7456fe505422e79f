#include "foxtailwheel/backend/Protocol.h"

#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace foxtailwheel;
using backend::StreamDone;
using backend::StreamTokens;
using pipeline::CallFailure;

namespace {

const std::string body
    = "data: {\"choices\":[{\"offset\":0,\"text\":\"a \",\"finish_reason\":null}]}\n\n"
      "data: {\"choices\":[{\"offset\":1,\"text\":\"b\\n\",\"finish_reason\":null}]}\n\n"
      ": a comment\n\n"
      "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n"
      "data: [DONE]\n\n";

const backend::Protocol& engine()
{
    return backend::protocolFor(config::ServiceKind::ModelEngine);
}

CallFailure failureAt(unsigned status, const http::Headers& headers, config::ServiceKind kind)
{
    const auto answer = backend::protocolFor(kind).decode({ status, headers, "{}" });
    cr_assert(std::holds_alternative<CallFailure>(answer));
    return std::get<CallFailure>(answer);
}

} // namespace

Test(EngineProtocol, readsAStreamCutAnywhere)
{
    Random random(3);
    for (int round = 0; round < 500; ++round) {
        const auto decoder = engine().streamDecoder();
        std::string text;
        std::uint64_t tokens = 0;
        bool done = false;
        for (std::size_t at = 0; at < body.size();) {
            const auto n = 1 + random.below(40);
            for (const auto& it : decoder->feed(body.substr(at, n))) {
                if (const auto* some = std::get_if<StreamTokens>(&it)) {
                    cr_assert_eq(some->offset, tokens);
                    tokens += some->tokens.size();
                    for (const auto& token : some->tokens)
                        text += token;
                }
                done = done || std::holds_alternative<StreamDone>(it);
            }
            at += n;
        }
        cr_assert_eq(text, std::string("a b\n"));
        cr_assert(done);
    }
}

Test(EngineProtocol, anEndWithoutItsCountIsTruncated)
{
    const auto events = engine().streamDecoder()->feed("data: [DONE]\n\n");
    cr_assert_eq(events.size(), 1U);
    cr_assert(std::get<CallFailure>(events.front()) == CallFailure::Truncated);
}

Test(EngineProtocol, garbageIsAFailure)
{
    for (const std::string text : { "data: {}\n\n", "data: nonsense\n\n", "data: {\"choices\":[{\"text\":1}]}\n\n" }) {
        const auto events = engine().streamDecoder()->feed(text);
        cr_assert(std::holds_alternative<CallFailure>(events.front()));
    }
}

Test(EngineProtocol, aLineWithoutEndIsBounded)
{
    const auto decoder = engine().streamDecoder();
    std::vector<backend::StreamEvent> events;
    for (int i = 0; i < 40 && events.empty(); ++i)
        events = decoder->feed(std::string(64U << 10U, 'x'));
    cr_assert(std::get<CallFailure>(events.front()) == CallFailure::Truncated);
}

Test(JsonProtocol, tellsFailuresApart)
{
    const auto kind = config::ServiceKind::Encoder;
    cr_assert(failureAt(503, { { "X-Not-Started", "1" } }, kind) == CallFailure::Refused);
    cr_assert(failureAt(503, {}, kind) == CallFailure::Failed);
    cr_assert(failureAt(500, { { "X-Not-Started", "1" } }, kind) == CallFailure::Failed);
    cr_assert(failureAt(422, {}, kind) == CallFailure::Rejected);
    const auto cut = backend::protocolFor(kind).decode({ 200, {}, "{\"half\":" });
    cr_assert(std::get<CallFailure>(cut) == CallFailure::Truncated);
}

Test(PlainProtocol, aCompleteRefusalIsAnAnswer)
{
    const auto answer = backend::protocolFor(config::ServiceKind::Plain).decode({ 409, {}, "{\"stock\":0}" });
    const auto refusal = nlohmann::json::parse(*std::get<pipeline::Payload>(answer));
    cr_assert_eq(refusal["rejected"], 409);
    cr_assert_eq(refusal["body"]["stock"], 0);
    cr_assert(failureAt(503, {}, config::ServiceKind::Plain) == CallFailure::Failed);
}
