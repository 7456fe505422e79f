#include "foxtailwheel/backend/JsonProtocol.h"

#include "foxtailwheel/base/Json.h"

namespace foxtailwheel::backend {

using nlohmann::json;

json parseJsonOrString(const std::string& text)
{
    auto value = parseJson(text);
    return value.is_discarded() ? json(text) : value;
}

pipeline::CallFailure classifyFailure(const http::Response& response)
{
    const bool notStarted = !http::findHeader(response.headers, notStartedHeader).empty();
    if (notStarted && (response.status == 429 || response.status == 503))
        return pipeline::CallFailure::Refused;
    if (response.status >= 400 && response.status < 500 && response.status != 408 && response.status != 429)
        return pipeline::CallFailure::InvalidRequest;
    return pipeline::CallFailure::ServerError;
}

json JsonProtocol::dependencyResults(const pipeline::StageInput& input)
{
    json results = json::object();
    for (const auto& it : input.dependencyResults)
        results[it.service.value()] = parseJsonOrString(*it.result);
    return results;
}

json JsonProtocol::requestBody(const serving::SendCall& call) const
{
    return { { "request", parseJsonOrString(*call.call.input.request) },
        { "inputs", dependencyResults(call.call.input) } };
}

http::Request JsonProtocol::encode(const serving::SendCall& call, Duration remainingTime) const
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(remainingTime).count();
    http::Request request { "POST", m_target, {},
        requestBody(call).dump(-1, ' ', false, json::error_handler_t::replace) };
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "X-Deadline-Ms", std::to_string(milliseconds) });
    request.headers.push_back({ "X-Priority", std::to_string(call.priority) });
    return request;
}

DecodedResponse JsonProtocol::decode(const http::Response& response) const
{
    if (response.status != 200)
        return classifyFailure(response);
    if (isJson(response.body))
        return pipeline::makePayload(response.body);
    return pipeline::CallFailure::Truncated;
}

} // namespace foxtailwheel::backend
