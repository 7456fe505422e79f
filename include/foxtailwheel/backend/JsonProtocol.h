#pragma once

#include "foxtailwheel/backend/Protocol.h"

#include <nlohmann/json.hpp>
#include <string>

namespace foxtailwheel::backend {

/// @brief Common part of all protocols: JSON bodies, the deadline header, and the mapping from status to failure.
class JsonProtocol : public Protocol {
public:
    explicit JsonProtocol(std::string target)
        : m_target(std::move(target))
    {
    }

    http::Request encode(const serving::SendCall& call, Duration remainingTime) const override;
    DecodedResponse decode(const http::Response& response) const override;
    std::unique_ptr<StreamDecoder> makeStreamDecoder() const override { return nullptr; }

protected:
    /// @brief Returns the JSON body of a call.
    virtual nlohmann::json requestBody(const serving::SendCall& call) const;
    /// @brief Returns the results of the stages that this stage depends on, as a JSON object by service.
    static nlohmann::json dependencyResults(const pipeline::StageInput& input);

private:
    std::string m_target;
};

/// @brief Parses JSON; returns a text that is not valid JSON as a JSON string.
nlohmann::json parseJsonOrString(const std::string& text);

/// @brief Maps the status and headers of an unsuccessful response to a failure.
pipeline::CallFailure classifyFailure(const http::Response& response);

} // namespace foxtailwheel::backend
