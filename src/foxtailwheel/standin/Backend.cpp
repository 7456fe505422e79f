#include "foxtailwheel/standin/Backend.h"

#include "foxtailwheel/base/Hash.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/standin/Faults.h"

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
    constexpr std::uint64_t mostTokens = 4096;
    constexpr std::size_t cacheCapacity = 256;

    std::string chunkOf(const std::string& prompt, std::uint64_t from, std::uint64_t to)
    {
        std::string chunk;
        for (auto i = from; i < to; ++i) {
            const json event { { "choices",
                { { { "index", 0 }, { "offset", i }, { "text", tokenOf(prompt, i) },
                    { "finish_reason", nullptr } } } } };
            chunk += "data: " + event.dump() + "\n\n";
        }
        return chunk;
    }

    std::string endOf(std::uint64_t total)
    {
        const json event { { "choices", { { { "index", 0 }, { "text", "" }, { "finish_reason", "stop" } } } },
            { "usage", { { "completion_tokens", total } } } };
        return "data: " + event.dump() + "\n\ndata: [DONE]\n\n";
    }

    /// One call that is being worked on.
    struct Work {
        Request request;
        std::shared_ptr<Responder> responder;
        std::optional<Fault> fault;
        std::string prompt;
        std::uint64_t next = 0;
        std::uint64_t total = 0;
        std::atomic<bool> gone { false };
    };

    class BackendStandIn final : public StandIn {
    public:
        BackendStandIn(http::IoPool& pool, BackendOptions options)
            : m_pool(pool)
            , m_options(std::move(options))
        {
        }

        void handle(Request request, const std::shared_ptr<Responder>& responder);
        void own(std::unique_ptr<http::Server> server) { m_server = std::move(server); }

    private:
        using WorkPtr = std::shared_ptr<Work>;

        bool handleAdmin(const Request& request, const std::shared_ptr<Responder>& responder);
        void accept(const WorkPtr& work);
        void begin(const WorkPtr& work);
        void finishPlain(const WorkPtr& work);
        void beginStream(const WorkPtr& work);
        void continueStream(const WorkPtr& work);
        void ended();
        std::string answerOf(const Request& request) const;
        void countExecution(const Request& request);
        void noteCached(const std::string& prompt);
        http::Response cacheEvents(const Request& request);
        http::Response executions();
        http::Response order(const Request& request);
        http::Headers loadHeader();

        http::IoPool& m_pool;
        BackendOptions m_options;
        std::mutex m_mutex;
        FaultPlan m_faults;
        std::uint32_t m_running = 0;
        std::deque<WorkPtr> m_queue;
        std::map<std::string, std::uint64_t> m_executions;
        std::uint64_t m_executionCount = 0;
        std::uint64_t m_cacheSequence = 0;
        std::deque<std::pair<std::uint64_t, std::uint64_t>> m_cacheEvents;
        std::uint64_t m_highestFencing = 0;
        std::string m_model;
        std::unique_ptr<http::Server> m_server;
    };

    http::Headers BackendStandIn::loadHeader()
    {
        const std::lock_guard lock(m_mutex);
        return { { "Content-Type", "application/json" },
            { "X-Load", std::to_string(m_running) + "," + std::to_string(m_queue.size()) } };
    }

    void BackendStandIn::handle(Request request, const std::shared_ptr<Responder>& responder)
    {
        if (handleAdmin(request, responder))
            return;
        auto work = std::make_shared<Work>();
        work->fault = m_faults.next();
        work->responder = responder;
        work->request = std::move(request);
        if (work->fault && work->fault->kind == FaultKind::CloseBefore) {
            responder->abort();
            return;
        }
        if (work->fault && work->fault->kind == FaultKind::Refuse) {
            responder->respond({ 503, { { "X-Not-Started", "1" } }, "busy" });
            return;
        }
        if (work->fault && work->fault->kind == FaultKind::Fail) {
            responder->respond({ 500, {}, "failed" });
            return;
        }
        accept(work);
    }

    bool BackendStandIn::handleAdmin(const Request& request, const std::shared_ptr<Responder>& responder)
    {
        const auto path = request.path();
        if (path == "/v1/faults")
            responder->respond({ m_faults.setFromJson(request.body) ? 200U : 400U, {}, {} });
        else if (path == "/v1/load")
            responder->respond({ 200, loadHeader(), "{}" });
        else if (path == "/v1/cache-events")
            responder->respond(cacheEvents(request));
        else if (path == "/v1/executions")
            responder->respond(executions());
        else if (path == "/v1/orders")
            responder->respond(order(request));
        else
            return false;
        return true;
    }

    void BackendStandIn::accept(const WorkPtr& work)
    {
        work->responder->onGone([weak = std::weak_ptr<Work>(work)] {
            if (const auto it = weak.lock())
                it->gone = true;
        });
        {
            const std::lock_guard lock(m_mutex);
            if (m_running >= m_options.service.concurrency) {
                m_queue.push_back(work);
                return;
            }
            ++m_running;
        }
        begin(work);
    }

    void BackendStandIn::ended()
    {
        WorkPtr work;
        {
            const std::lock_guard lock(m_mutex);
            if (m_queue.empty()) {
                --m_running;
                return;
            }
            work = std::move(m_queue.front());
            m_queue.pop_front();
        }
        begin(work);
    }

    void BackendStandIn::begin(const WorkPtr& work)
    {
        if (m_options.service.kind == config::ServiceKind::ModelEngine) {
            beginStream(work);
            return;
        }
        countExecution(work->request);
        const bool late = work->fault && work->fault->kind == FaultKind::Late;
        m_pool.after(
            m_options.callTime + (late ? work->fault->delay : Duration {}), [this, work] { finishPlain(work); });
    }

    void BackendStandIn::finishPlain(const WorkPtr& work)
    {
        const auto kind = work->fault ? work->fault->kind : FaultKind::Late;
        http::Response response { 200, loadHeader(), answerOf(work->request) };
        if (kind == FaultKind::CloseAfter) {
            work->responder->abort();
        } else if (kind == FaultKind::CloseMiddle) {
            work->responder->beginStream({ 200, response.headers, {} });
            work->responder->write(response.body.substr(0, response.body.size() / 2));
            work->responder->abort();
        } else if (kind != FaultKind::Silent) {
            work->responder->respond(std::move(response));
        }
        ended();
    }

    void BackendStandIn::beginStream(const WorkPtr& work)
    {
        const auto body = json::parse(work->request.body, nullptr, false);
        work->prompt = body.is_object() && body.contains("prompt") ? body["prompt"].dump() : "";
        work->total = std::min(countAt(body, "max_tokens"), mostTokens);
        work->next = body.is_object() && body.contains("resume") ? countAt(body["resume"], "offset") : 0;
        noteCached(work->prompt);
        countExecution(work->request);
        auto headers = loadHeader();
        headers.front().value = "text/event-stream";
        work->responder->beginStream({ 200, std::move(headers), {} });
        const bool late = work->fault && work->fault->kind == FaultKind::Late;
        m_pool.after(late ? work->fault->delay : Duration {}, [this, work] { continueStream(work); });
    }

    void BackendStandIn::continueStream(const WorkPtr& work)
    {
        const auto kind = work->fault ? work->fault->kind : FaultKind::Late;
        const bool half = work->next * 2 >= work->total;
        if (work->gone || (half && kind == FaultKind::Silent)) {
            ended();
            return;
        }
        if (half && (kind == FaultKind::CloseMiddle || kind == FaultKind::CloseAfter)) {
            work->responder->abort();
            ended();
            return;
        }
        if (work->next >= work->total) {
            work->responder->write(endOf(work->total));
            work->responder->endStream();
            ended();
            return;
        }
        const auto to = std::min<std::uint64_t>(work->total, work->next + tokensPerChunk);
        work->responder->write(chunkOf(work->prompt, work->next, to));
        const auto n = to - work->next;
        work->next = to;
        m_pool.after(m_options.tokenTime * n, [this, work] { continueStream(work); });
    }

    std::string BackendStandIn::answerOf(const Request& request) const
    {
        const auto body = json::parse(request.body, nullptr, false);
        json answer { { "service", m_options.service.id.value() }, { "server", m_options.server.id.value() } };
        const auto asked = body.is_object() && body.contains("request") ? body["request"] : json();
        answer["echo"] = asked;
        answer["digest"] = sha256Hex(asked.dump()).substr(0, 16);
        if (m_options.service.kind == config::ServiceKind::Retriever
            || m_options.service.kind == config::ServiceKind::Reranker)
            answer["documents"]
                = { answer["digest"].get<std::string>() + "-1", answer["digest"].get<std::string>() + "-2" };
        return answer.dump();
    }

    void BackendStandIn::countExecution(const Request& request)
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

    void BackendStandIn::noteCached(const std::string& prompt)
    {
        const std::lock_guard lock(m_mutex);
        m_cacheEvents.emplace_back(++m_cacheSequence, hashOf(prompt.substr(0, 256)));
        if (m_cacheEvents.size() > cacheCapacity)
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

    http::Response BackendStandIn::order(const Request& request)
    {
        const auto body = json::parse(request.body, nullptr, false);
        const auto fencing = countAt(body, "fencing");
        const std::lock_guard lock(m_mutex);
        if (m_options.service.fencing == config::Fencing::Checked && fencing < m_highestFencing)
            return { 409, {}, json { { "fencing", m_highestFencing } }.dump() };
        m_highestFencing = std::max(m_highestFencing, fencing);
        m_model = textAt(body, "model", m_model);
        return { 200, {}, json { { "model", m_model }, { "fencing", m_highestFencing } }.dump() };
    }

} // namespace

std::string tokenOf(const std::string& prompt, std::uint64_t index)
{
    constexpr std::array<std::string_view, 16> words { "net", "string", "cherry", "chord", "orchard", "tune", "row",
        "fret", "leaf", "pick", "bird", "scale", "root", "note", "branch", "bow" };
    return std::string(words.at(hashOf(prompt, index) % words.size())) + " ";
}

std::string textOf(const std::string& prompt, std::uint64_t count)
{
    std::string text;
    for (std::uint64_t i = 0; i < count; ++i)
        text += tokenOf(prompt, i);
    return text;
}

Result<std::unique_ptr<StandIn>> startBackend(http::IoPool& pool, BackendOptions options)
{
    http::ServerOptions serverOptions;
    serverOptions.listen = { options.server.host, options.server.port };
    serverOptions.maxBodyBytes = 64U << 20U;
    serverOptions.maxUnreadBytes = 16U << 20U;
    auto backend = std::make_unique<BackendStandIn>(pool, std::move(options));
    auto* raw = backend.get();
    BOOST_OUTCOME_TRY(auto server,
        http::Server::listen(pool, serverOptions, [raw](Request request, const std::shared_ptr<Responder>& responder) {
            raw->handle(std::move(request), responder);
        }));
    backend->own(std::move(server));
    return std::unique_ptr<StandIn>(std::move(backend));
}

} // namespace foxtailwheel::standin
