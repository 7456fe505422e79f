#include "foxtailwheel/backend/Protocol.h"

#include "EngineProtocol.h"
#include "foxtailwheel/backend/JsonProtocol.h"

#include <array>

namespace foxtailwheel::backend {

namespace {

    using nlohmann::json;

    /// A complete rejection by a plain service (no stock, card declined) is a result, not a failure.
    class PlainProtocol final : public JsonProtocol {
    public:
        PlainProtocol()
            : JsonProtocol("/v1/call")
        {
        }

        DecodedResponse decode(const http::Response& response) const override
        {
            auto decoded = JsonProtocol::decode(response);
            const auto* failure = std::get_if<pipeline::CallFailure>(&decoded);
            if (failure == nullptr || *failure != pipeline::CallFailure::InvalidRequest)
                return decoded;
            const json result { { "rejected", response.status }, { "body", parseJsonOrString(response.body) } };
            return pipeline::makePayload(result.dump(-1, ' ', false, json::error_handler_t::replace));
        }
    };

    using Protocols = std::array<std::unique_ptr<Protocol>, 5>;

    Protocols makeProtocols()
    {
        return {
            std::make_unique<JsonProtocol>("/v1/encode"),
            std::make_unique<JsonProtocol>("/v1/retrieve"),
            std::make_unique<JsonProtocol>("/v1/rerank"),
            makeEngineProtocol(),
            std::make_unique<PlainProtocol>(),
        };
    }

} // namespace

const Protocol& protocolFor(config::ServiceKind kind)
{
    static const Protocols protocols = makeProtocols();
    return *protocols.at(static_cast<std::size_t>(kind));
}

} // namespace foxtailwheel::backend
