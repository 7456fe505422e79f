#include "foxtailwheel/backend/JsonProtocol.h"

namespace foxtailwheel::backend {

using nlohmann::json;

json jsonOrText(const std::string& text)
{
    auto value = json::parse(text, nullptr, false);
    return value.is_discarded() ? json(text) : value;
}

pipeline::CallFailure failureOf(const http::Response& response)
{
    const bool notStarted = !http::findHeader(response.headers, notStartedHeader).empty();
    if (notStarted && (response.status == 429 || response.status == 503))
        return pipeline::CallFailure::Refused;
    if (response.status >= 400 && response.status < 500 && response.status != 408 && response.status != 429)
        return pipeline::CallFailure::Rejected;
    return pipeline::CallFailure::Failed;
}

json JsonProtocol::inputs(const pipeline::StageInput& input)
{
    json parts = json::object();
    for (const auto& it : input.parts)
        parts[it.service.value()] = jsonOrText(*it.result);
    return parts;
}

json JsonProtocol::body(const serving::SendCall& call) const
{
    return { { "request", jsonOrText(*call.call.input.request) }, { "inputs", inputs(call.call.input) } };
}

http::Request JsonProtocol::encode(const serving::SendCall& call, Duration timeLeft) const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    http::Request request { "POST", m_target, {}, body(call).dump() };
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "X-Deadline-Ms", std::to_string(milliseconds) });
    request.headers.push_back({ "X-Priority", std::to_string(call.priority) });
    return request;
}

Answer JsonProtocol::decode(const http::Response& response) const
{
    if (response.status != 200)
        return failureOf(response);
    if (json::accept(response.body))
        return pipeline::payloadOf(response.body);
    return pipeline::CallFailure::Truncated;
}

} // namespace foxtailwheel::backend
