#include "foxtailwheel/backend/Protocol.h"

#include "foxtailwheel/base/Random.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace foxtailwheel;
using backend::StreamDone;
using backend::StreamTokens;
using pipeline::CallFailure;

namespace {

const std::string streamBody
    = "data: {\"choices\":[{\"offset\":0,\"text\":\"a \",\"finish_reason\":null}]}\n\n"
      "data: {\"choices\":[{\"offset\":1,\"text\":\"b\\n\",\"finish_reason\":null}]}\n\n"
      ": a comment\n\n"
      "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n"
      "data: [DONE]\n\n";

const backend::Protocol& engineProtocol()
{
    return backend::protocolFor(config::ServiceKind::ModelEngine);
}

CallFailure decodeFailure(unsigned status, const http::Headers& headers, config::ServiceKind kind)
{
    const auto decoded = backend::protocolFor(kind).decode({ status, headers, "{}" });
    cr_assert(std::holds_alternative<CallFailure>(decoded));
    return std::get<CallFailure>(decoded);
}

} // namespace

Test(EngineProtocol, decodesAStreamSplitAtAnyByte)
{
    Random random(3);
    for (int round = 0; round < 500; ++round) {
        const auto decoder = engineProtocol().makeStreamDecoder();
        std::string text;
        std::uint64_t tokens = 0;
        bool done = false;
        for (std::size_t at = 0; at < streamBody.size();) {
            const auto n = 1 + random.below(40);
            for (const auto& it : decoder->feed(streamBody.substr(at, n))) {
                if (const auto* chunk = std::get_if<StreamTokens>(&it)) {
                    cr_assert_eq(chunk->offset, tokens);
                    tokens += chunk->tokens.size();
                    for (const auto& token : chunk->tokens)
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

Test(EngineProtocol, aTerminatorWithoutATokenCountIsTruncated)
{
    const auto events = engineProtocol().makeStreamDecoder()->feed("data: [DONE]\n\n");
    cr_assert_eq(events.size(), 1U);
    cr_assert(std::get<CallFailure>(events.front()) == CallFailure::Truncated);
}

Test(EngineProtocol, malformedEventsAreFailures)
{
    for (const std::string text : { "data: {}\n\n", "data: nonsense\n\n", "data: {\"choices\":[{\"text\":1}]}\n\n" }) {
        const auto events = engineProtocol().makeStreamDecoder()->feed(text);
        cr_assert(std::holds_alternative<CallFailure>(events.front()));
    }
}

Test(EngineProtocol, anEventWithoutAnEndIsBounded)
{
    const auto decoder = engineProtocol().makeStreamDecoder();
    std::vector<backend::StreamEvent> events;
    for (int i = 0; i < 40 && events.empty(); ++i)
        events = decoder->feed(std::string(64U << 10U, 'x'));
    cr_assert(std::get<CallFailure>(events.front()) == CallFailure::Truncated);
}

Test(JsonProtocol, mapsStatusAndHeadersToFailures)
{
    const auto kind = config::ServiceKind::Encoder;
    cr_assert(decodeFailure(503, { { "X-Not-Started", "1" } }, kind) == CallFailure::Refused);
    cr_assert(decodeFailure(503, {}, kind) == CallFailure::ServerError);
    cr_assert(decodeFailure(500, { { "X-Not-Started", "1" } }, kind) == CallFailure::ServerError);
    cr_assert(decodeFailure(422, {}, kind) == CallFailure::InvalidRequest);
    const auto truncated = backend::protocolFor(kind).decode({ 200, {}, "{\"half\":" });
    cr_assert(std::get<CallFailure>(truncated) == CallFailure::Truncated);
}

Test(PlainProtocol, aCompleteRejectionIsAResult)
{
    const auto decoded = backend::protocolFor(config::ServiceKind::Plain).decode({ 409, {}, "{\"stock\":0}" });
    const auto rejection = nlohmann::json::parse(*std::get<pipeline::Payload>(decoded));
    cr_assert_eq(rejection["rejected"], 409);
    cr_assert_eq(rejection["body"]["stock"], 0);
    cr_assert(decodeFailure(503, {}, config::ServiceKind::Plain) == CallFailure::ServerError);
}

// A response with nested arrays or bytes that are no UTF-8 ended the process.
Test(PlainProtocol, rejectionWithAnyBodyIsAResult)
{
    const auto& protocol = backend::protocolFor(config::ServiceKind::Plain);
    for (const std::string& body :
        { std::string(500000, '[') + std::string(500000, ']'), std::string("\xff\xfe"), std::string("1e400") }) {
        const auto decoded = protocol.decode({ 404, {}, body });
        const auto* payload = std::get_if<pipeline::Payload>(&decoded);
        cr_assert(payload != nullptr);
        cr_assert(nlohmann::json::accept(**payload));
    }
}

Test(JsonProtocol, deeplyNestedResponseIsAFailure)
{
    const auto body = std::string(500000, '[') + std::string(500000, ']');
    const auto decoded = backend::protocolFor(config::ServiceKind::Encoder).decode({ 200, {}, body });
    cr_assert(std::holds_alternative<CallFailure>(decoded));
}
