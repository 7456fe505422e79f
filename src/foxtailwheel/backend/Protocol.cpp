#include "foxtailwheel/backend/Protocol.h"

#include "EngineProtocol.h"
#include "foxtailwheel/backend/JsonProtocol.h"

#include <array>

namespace foxtailwheel::backend {

namespace {

    using nlohmann::json;

    /// A plain service's complete refusal of a request (no stock, card declined) is its answer.
    class PlainProtocol final : public JsonProtocol {
    public:
        PlainProtocol()
            : JsonProtocol("/v1/call")
        {
        }

        Answer decode(const http::Response& response) const override
        {
            auto answer = JsonProtocol::decode(response);
            const auto* failure = std::get_if<pipeline::CallFailure>(&answer);
            if (failure == nullptr || *failure != pipeline::CallFailure::Rejected)
                return answer;
            return pipeline::payloadOf(
                json { { "rejected", response.status }, { "body", jsonOrText(response.body) } }.dump());
        }
    };

    using Protocols = std::array<std::unique_ptr<Protocol>, 5>;

    Protocols makeProtocols()
    {
        return {
            std::make_unique<JsonProtocol>("/v1/encode"),
            std::make_unique<JsonProtocol>("/v1/retrieve"),
            std::make_unique<JsonProtocol>("/v1/rerank"),
            engineProtocol(),
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
