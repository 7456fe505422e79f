#pragma once

#include "foxtailwheel/backend/Protocol.h"

#include <nlohmann/json.hpp>
#include <string>

namespace foxtailwheel::backend {

/// @brief What all kinds share: JSON bodies, the deadline header, and how failures are told apart by status.
class JsonProtocol : public Protocol {
public:
    explicit JsonProtocol(std::string target)
        : m_target(std::move(target))
    {
    }

    http::Request encode(const serving::SendCall& call, Duration timeLeft) const override;
    Answer decode(const http::Response& response) const override;
    std::unique_ptr<StreamDecoder> streamDecoder() const override { return nullptr; }

protected:
    /// @brief The JSON body of a call.
    virtual nlohmann::json body(const serving::SendCall& call) const;
    /// @brief The request and the results of the stages before, as one object.
    static nlohmann::json inputs(const pipeline::StageInput& input);

private:
    std::string m_target;
};

/// @brief Parses JSON, or wraps a text that is none as a string.
nlohmann::json jsonOrText(const std::string& text);

/// @brief Sorts a response that is not a success.
pipeline::CallFailure failureOf(const http::Response& response);

} // namespace foxtailwheel::backend
