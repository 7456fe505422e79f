#include "EngineProtocol.h"

#include "foxtailwheel/backend/JsonProtocol.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/serving/EventStream.h"

namespace foxtailwheel::backend {

namespace {

    using nlohmann::json;

    constexpr std::size_t maxEventBytes = 1U << 20U;
    constexpr std::uint64_t defaultMaxTokens = 64;
    constexpr std::string_view dataField = "data: ";

    /// Decodes server-sent events of the completions API.
    class CompletionsDecoder final : public StreamDecoder {
    public:
        std::vector<StreamEvent> feed(std::string_view chunk) override;

    private:
        void parseEvent(const std::string& data, std::vector<StreamEvent>& events);

        serving::EventSplitter m_splitter { maxEventBytes };
        std::uint64_t m_totalTokens = 0;
        bool m_finished = false;
    };

    std::vector<StreamEvent> CompletionsDecoder::feed(std::string_view chunk)
    {
        std::vector<StreamEvent> events;
        for (const auto& it : m_splitter.feed(chunk)) {
            std::string_view event = it.bytes;
            event.remove_suffix(event.size() - (event.find_last_not_of("\r\n") + 1));
            if (event.starts_with(dataField))
                parseEvent(std::string(event.substr(dataField.size())), events);
        }
        if (m_splitter.isOversized())
            events.emplace_back(pipeline::CallFailure::Truncated);
        return events;
    }

    void CompletionsDecoder::parseEvent(const std::string& data, std::vector<StreamEvent>& events)
    {
        if (data == "[DONE]") {
            events.emplace_back(
                m_finished ? StreamEvent(StreamDone { m_totalTokens }) : StreamEvent(pipeline::CallFailure::Truncated));
            return;
        }
        const auto event = parseJson(data);
        if (!event.is_object() || !event.contains("choices") || !event["choices"].is_array()
            || event["choices"].empty()) {
            events.emplace_back(pipeline::CallFailure::ServerError);
            return;
        }
        const auto& choice = event["choices"][0];
        if (choice.contains("finish_reason") && !choice["finish_reason"].is_null()) {
            m_totalTokens = unsignedAt(event.contains("usage") ? event["usage"] : json(), "completion_tokens");
            m_finished = true;
            return;
        }
        if (!choice.contains("offset") || !choice["offset"].is_number_unsigned()) {
            events.emplace_back(pipeline::CallFailure::ServerError);
            return;
        }
        const auto offset = choice["offset"].get<std::uint64_t>();
        auto text = textAt(choice, "text");
        auto* last = events.empty() ? nullptr : std::get_if<StreamTokens>(&events.back());
        if (last != nullptr && last->offset + last->tokens.size() == offset)
            last->tokens.push_back(std::move(text));
        else
            events.emplace_back(StreamTokens { offset, { std::move(text) } });
    }

    class EngineProtocol final : public JsonProtocol {
    public:
        EngineProtocol()
            : JsonProtocol("/v1/completions")
        {
        }

        std::unique_ptr<StreamDecoder> makeStreamDecoder() const override
        {
            return std::make_unique<CompletionsDecoder>();
        }

    protected:
        json requestBody(const serving::SendCall& call) const override
        {
            auto request = parseJsonOrString(*call.call.input.request);
            json body { { "stream", true }, { "priority", call.priority } };
            body["prompt"] = request.is_object() && request.contains("prompt") ? request["prompt"] : request;
            body["max_tokens"] = unsignedAt(request, "max_tokens", defaultMaxTokens);
            body["context"] = dependencyResults(call.call.input);
            if (call.call.resumeFrom > 0)
                body["resume"] = { { "offset", call.call.resumeFrom }, { "text", call.call.textSoFar } };
            return body;
        }
    };

} // namespace

std::unique_ptr<Protocol> makeEngineProtocol()
{
    return std::make_unique<EngineProtocol>();
}

} // namespace foxtailwheel::backend
