#include "foxtailwheel/standin/Backend.h"

#include "FaultyResponse.h"
#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/standin/FaultInjector.h"

#include <array>
#include <atomic>
#include <charconv>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>

namespace foxtailwheel::standin {

namespace {

    using http::Request;
    using http::Responder;
    using nlohmann::json;

    constexpr std::size_t tokensPerChunk = 4;
    constexpr std::uint64_t maxTokens = 4096;
    constexpr std::size_t cacheEventCapacity = 256;

    std::string makeChunk(const std::string& prompt, std::uint64_t from, std::uint64_t to)
    {
        std::string chunk;
        for (auto i = from; i < to; ++i) {
            const json event { { "choices",
                { { { "index", 0 }, { "offset", i }, { "text", generatedToken(prompt, i) },
                    { "finish_reason", nullptr } } } } };
            chunk += "data: " + event.dump() + "\n\n";
        }
        return chunk;
    }

    std::string makeFinalChunk(std::uint64_t tokenCount)
    {
        const json event { { "choices", { { { "index", 0 }, { "text", "" }, { "finish_reason", "stop" } } } },
            { "usage", { { "completion_tokens", tokenCount } } } };
        return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
    }

    /// Call that is queued or running.
    struct Call {
        Request request;
        std::shared_ptr<Responder> responder;
        std::optional<Fault> fault;
        std::string prompt;
        std::uint64_t nextToken = 0;
        std::uint64_t tokenCount = 0;
        std::atomic<bool> disconnected { false };
    };

    class BackendStandIn final : public StandIn {
    public:
        BackendStandIn(http::IoPool& pool, BackendOptions options)
            : m_pool(pool)
            , m_options(std::move(options))
        {
        }

        void handle(Request request, const std::shared_ptr<Responder>& responder);
        void setServer(std::unique_ptr<http::Server> server) { m_server = std::move(server); }

    private:
        using CallPtr = std::shared_ptr<Call>;

        bool handleAdmin(const Request& request, const std::shared_ptr<Responder>& responder);
        void enqueueOrStart(const CallPtr& call);
        void start(const CallPtr& call);
        void finishUnary(const CallPtr& call);
        void startStream(const CallPtr& call);
        void sendNextChunk(const CallPtr& call);
        void releaseSlot();
        std::string makeResponseBody(const Request& request) const;
        void recordExecution(const Request& request);
        void recordCachedPrefix(const std::string& prompt);
        http::Response cacheEvents(const Request& request);
        http::Response executions();
        http::Response handleOrder(const Request& request);
        http::Headers loadHeaders();

        http::IoPool& m_pool;
        BackendOptions m_options;
        std::mutex m_mutex;
        FaultInjector m_faults;
        std::uint32_t m_runningCalls = 0;
        std::deque<CallPtr> m_queue;
        std::map<std::string, std::uint64_t> m_executions;
        std::uint64_t m_executionCount = 0;
        std::uint64_t m_cacheSequence = 0;
        std::deque<std::pair<std::uint64_t, std::uint64_t>> m_cacheEvents;
        std::uint64_t m_highestFencingToken = 0;
        std::string m_model;
        std::unique_ptr<http::Server> m_server;
    };

    http::Headers BackendStandIn::loadHeaders()
    {
        const std::lock_guard lock(m_mutex);
        return { { "Content-Type", "application/json" },
            { "X-Load", std::to_string(m_runningCalls) + "," + std::to_string(m_queue.size()) } };
    }

    void BackendStandIn::handle(Request request, const std::shared_ptr<Responder>& responder)
    {
        if (handleAdmin(request, responder))
            return;
        auto call = std::make_shared<Call>();
        call->fault = m_faults.nextFault();
        call->responder = responder;
        call->request = std::move(request);
        const auto kind = call->fault ? call->fault->kind : FaultKind::Late;
        if (kind == FaultKind::Refuse)
            responder->respond({ 503, { { "X-Not-Started", "1" } }, "busy" });
        else if (kind == FaultKind::CloseBefore || kind == FaultKind::Fail || kind == FaultKind::Pause)
            respondWithFault(m_pool, responder, *call->fault, {});
        else
            enqueueOrStart(call);
    }

    bool BackendStandIn::handleAdmin(const Request& request, const std::shared_ptr<Responder>& responder)
    {
        const auto path = request.path();
        if (path == "/v1/faults")
            responder->respond({ m_faults.setFromJson(request.body) ? 200U : 400U, {}, {} });
        else if (path == "/v1/load")
            responder->respond({ 200, loadHeaders(), "{}" });
        else if (path == "/v1/cache-events")
            responder->respond(cacheEvents(request));
        else if (path == "/v1/executions")
            responder->respond(executions());
        else if (path == "/v1/orders")
            responder->respond(handleOrder(request));
        else
            return false;
        return true;
    }

    void BackendStandIn::enqueueOrStart(const CallPtr& call)
    {
        call->responder->onDisconnect([weak = std::weak_ptr<Call>(call)] {
            if (const auto it = weak.lock())
                it->disconnected = true;
        });
        {
            const std::lock_guard lock(m_mutex);
            if (m_runningCalls >= m_options.service.concurrency) {
                m_queue.push_back(call);
                return;
            }
            ++m_runningCalls;
        }
        start(call);
    }

    void BackendStandIn::releaseSlot()
    {
        CallPtr call;
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.empty()) {
                --m_runningCalls;
                return;
            }
            call = std::move(m_queue.front());
            m_queue.pop_front();
        }
        start(call);
    }

    void BackendStandIn::start(const CallPtr& call)
    {
        if (m_options.service.kind == config::ServiceKind::ModelEngine) {
            startStream(call);
            return;
        }
        recordExecution(call->request);
        const bool delayed = call->fault && call->fault->kind == FaultKind::Late;
        m_pool.postAfter(
            m_options.callTime + (delayed ? call->fault->delay : Duration {}), [this, call] { finishUnary(call); });
    }

    void BackendStandIn::finishUnary(const CallPtr& call)
    {
        http::Response response { 200, loadHeaders(), makeResponseBody(call->request) };
        const bool late = call->fault && call->fault->kind == FaultKind::Late;
        if (call->fault && !late)
            respondWithFault(m_pool, call->responder, *call->fault, [&response] { return response; });
        else
            call->responder->respond(std::move(response));
        releaseSlot();
    }

    void BackendStandIn::startStream(const CallPtr& call)
    {
        const auto body = json::parse(call->request.body, nullptr, false);
        call->prompt = body.is_object() && body.contains("prompt") ? body["prompt"].dump() : "";
        call->tokenCount = std::min(unsignedAt(body, "max_tokens"), maxTokens);
        call->nextToken = body.is_object() && body.contains("resume") ? unsignedAt(body["resume"], "offset") : 0;
        recordCachedPrefix(call->prompt);
        recordExecution(call->request);
        auto headers = loadHeaders();
        headers.front().value = "text/event-stream";
        if (call->fault && call->fault->kind == FaultKind::Leaving)
            headers.push_back({ "X-Leaving", "1" });
        call->responder->beginStream({ 200, std::move(headers), {} });
        const bool delayed = call->fault && call->fault->kind == FaultKind::Late;
        m_pool.postAfter(delayed ? call->fault->delay : Duration {}, [this, call] { sendNextChunk(call); });
    }

    void BackendStandIn::sendNextChunk(const CallPtr& call)
    {
        const auto kind = call->fault ? call->fault->kind : FaultKind::Late;
        const bool halfSent = call->nextToken * 2 >= call->tokenCount;
        if (call->disconnected || (halfSent && kind == FaultKind::Silent)) {
            releaseSlot();
            return;
        }
        if (halfSent && (kind == FaultKind::CloseMiddle || kind == FaultKind::CloseAfter)) {
            call->responder->abort();
            releaseSlot();
            return;
        }
        if (call->nextToken >= call->tokenCount) {
            call->responder->write(makeFinalChunk(call->tokenCount));
            call->responder->endStream();
            releaseSlot();
            return;
        }
        const auto to = std::min<std::uint64_t>(call->tokenCount, call->nextToken + tokensPerChunk);
        call->responder->write(makeChunk(call->prompt, call->nextToken, to));
        const auto n = to - call->nextToken;
        call->nextToken = to;
        m_pool.postAfter(m_options.tokenTime * n, [this, call] { sendNextChunk(call); });
    }

    std::string BackendStandIn::makeResponseBody(const Request& request) const
    {
        const auto body = json::parse(request.body, nullptr, false);
        json response { { "service", m_options.service.id.value() }, { "server", m_options.server.id.value() } };
        const auto clientRequest = body.is_object() && body.contains("request") ? body["request"] : json();
        response["echo"] = clientRequest;
        response["digest"] = sha256Hex(clientRequest.dump()).substr(0, 16);
        if (m_options.service.kind == config::ServiceKind::Retriever
            || m_options.service.kind == config::ServiceKind::Reranker)
            response["documents"]
                = { response["digest"].get<std::string>() + "-1", response["digest"].get<std::string>() + "-2" };
        return response.dump();
    }

    void BackendStandIn::recordExecution(const Request& request)
    {
        const std::string key(http::findHeader(request.headers, "Idempotency-Key"));
        const std::lock_guard lock(m_mutex);
        ++m_executionCount;
        if (!key.empty())
            ++m_executions[key];
    }

    http::Response BackendStandIn::executions()
    {
        const std::lock_guard lock(m_mutex);
        return { 200, {}, json { { "total", m_executionCount }, { "by_key", m_executions } }.dump() };
    }

    void BackendStandIn::recordCachedPrefix(const std::string& prompt)
    {
        const std::lock_guard lock(m_mutex);
        m_cacheEvents.emplace_back(++m_cacheSequence, hashOf(prompt.substr(0, 256)));
        if (m_cacheEvents.size() > cacheEventCapacity)
            m_cacheEvents.pop_front();
    }

    http::Response BackendStandIn::cacheEvents(const Request& request)
    {
        const auto text = request.query("after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        const std::lock_guard lock(m_mutex);
        json events = json::array();
        for (const auto& it : m_cacheEvents) {
            if (it.first > after)
                events.push_back({ { "sequence", it.first }, { "prefix", it.second }, { "evicted", false } });
        }
        return { 200, {}, json { { "events", events } }.dump() };
    }

    http::Response BackendStandIn::handleOrder(const Request& request)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const auto fencingToken = unsignedAt(body, "fencing");
        const std::lock_guard lock(m_mutex);
        if (m_options.service.fencing == config::Fencing::Checked && fencingToken < m_highestFencingToken)
            return { 409, {}, json { { "fencing", m_highestFencingToken } }.dump() };
        m_highestFencingToken = std::max(m_highestFencingToken, fencingToken);
        m_model = textAt(body, "model", m_model);
        return { 200, {}, json { { "model", m_model }, { "fencing", m_highestFencingToken } }.dump() };
    }

} // namespace

std::string generatedToken(const std::string& prompt, std::uint64_t index)
{
    constexpr std::array<std::string_view, 16> words { "net", "string", "cherry", "chord", "orchard", "tune", "row",
        "fret", "leaf", "pick", "bird", "scale", "root", "note", "branch", "bow" };
    return std::string(words.at(hashOf(prompt, index) % words.size())) + " ";
}

std::string generatedText(const std::string& prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i)
        text += generatedToken(prompt, i);
    return text;
}

Result<std::unique_ptr<StandIn>> startBackend(http::IoPool& pool, BackendOptions options)
{
    http::ServerOptions serverOptions;
    serverOptions.listen = { options.server.host, options.server.port };
    serverOptions.maxBodyBytes = 64U << 20U;
    serverOptions.maxQueuedBytes = 16U << 20U;
    auto backend = std::make_unique<BackendStandIn>(pool, std::move(options));
    auto* raw = backend.get();
    BOOST_OUTCOME_TRY(auto server,
        http::Server::listen(pool, serverOptions, [raw](Request request, const std::shared_ptr<Responder>& responder) {
            raw->handle(std::move(request), responder);
        }));
    backend->setServer(std::move(server));
    return std::unique_ptr<StandIn>(std::move(backend));
}

} // namespace foxtailwheel::standin
