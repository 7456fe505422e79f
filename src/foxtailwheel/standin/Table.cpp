#include "FaultyResponse.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/limits/TokenBucket.h"
#include "foxtailwheel/standin/FaultInjector.h"
#include "foxtailwheel/standin/Platform.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <mutex>

namespace foxtailwheel::standin {

namespace {

    using http::Request;
    using http::Responder;
    using nlohmann::json;

    struct StoredRow {
        std::string value;
        std::uint64_t version = 0;
    };

    json rowToJson(const std::string& key, const StoredRow& row)
    {
        return { { "key", key }, { "value", row.value }, { "version", row.version } };
    }

    class TableStandIn final : public StandIn {
    public:
        TableStandIn(http::IoPool& pool, const Clock& clock, const TableOptions& options)
            : m_pool(pool)
            , m_clock(clock)
            , m_reads(options.readsPerSecond, options.readsPerSecond, clock.now())
            , m_writes(options.writesPerSecond, options.writesPerSecond, clock.now())
        {
        }

        void handle(const Request& request, const std::shared_ptr<Responder>& responder);
        void setServer(std::unique_ptr<http::Server> server) { m_server = std::move(server); }

    private:
        http::Response execute(const Request& request);
        http::Response transact(const std::string& body);
        http::Response scan(const Request& request);
        http::Response read(const Request& request);
        bool admit(bool isWrite);

        http::IoPool& m_pool;
        const Clock& m_clock;
        std::mutex m_mutex;
        limits::TokenBucket m_reads;
        limits::TokenBucket m_writes;
        std::map<std::string, StoredRow> m_rows;
        FaultInjector m_faults;
        std::unique_ptr<http::Server> m_server;
    };

    bool TableStandIn::admit(bool isWrite)
    {
        const std::lock_guard lock(m_mutex);
        return (isWrite ? m_writes : m_reads).tryAcquire(1, m_clock.now());
    }

    http::Response TableStandIn::transact(const std::string& body)
    {
        const auto root = json::parse(body, nullptr, false);
        if (!root.is_object())
            return { 400, {}, "not a transaction" };
        const std::lock_guard lock(m_mutex);
        json conflicts = json::array();
        bool conditionsMet = true;
        for (const auto& it : arrayAt(root, "conditions")) {
            const auto key = textAt(it, "key");
            const auto found = m_rows.find(key);
            const std::uint64_t version = found == m_rows.end() ? 0 : found->second.version;
            if (version == unsignedAt(it, "version"))
                continue;
            conditionsMet = false;
            if (found != m_rows.end())
                conflicts.push_back(rowToJson(key, found->second));
        }
        if (!conditionsMet)
            return { 409, {}, json { { "rows", conflicts } }.dump() };
        for (const auto& it : arrayAt(root, "writes")) {
            const auto key = textAt(it, "key");
            if (!it.contains("value") || !it["value"].is_string()) {
                m_rows.erase(key);
                continue;
            }
            auto& stored = m_rows[key];
            stored.value = it["value"].get<std::string>();
            ++stored.version;
        }
        return { 200, {}, "{}" };
    }

    http::Response TableStandIn::read(const Request& request)
    {
        const auto key = request.query("key");
        const std::lock_guard lock(m_mutex);
        const auto it = m_rows.find(key);
        json rows = json::array();
        if (it != m_rows.end())
            rows.push_back(rowToJson(key, it->second));
        return { 200, {}, json { { "rows", rows } }.dump() };
    }

    http::Response TableStandIn::scan(const Request& request)
    {
        const auto prefix = request.query("prefix");
        const auto after = request.query("after");
        const auto limitText = request.query("limit");
        std::size_t limit = 0;
        std::from_chars(limitText.data(), limitText.data() + limitText.size(), limit);
        const std::lock_guard lock(m_mutex);
        json rows = json::array();
        auto it = after.empty() ? m_rows.lower_bound(prefix) : m_rows.upper_bound(std::max(after, prefix));
        for (; it != m_rows.end() && it->first.starts_with(prefix) && rows.size() < limit; ++it)
            rows.push_back(rowToJson(it->first, it->second));
        return { 200, {}, json { { "rows", rows } }.dump() };
    }

    void TableStandIn::handle(const Request& request, const std::shared_ptr<Responder>& responder)
    {
        if (request.path() == "/v1/faults") {
            responder->respond({ m_faults.setFromJson(request.body) ? 200U : 400U, {}, {} });
            return;
        }
        if (const auto fault = m_faults.nextFault())
            respondWithFault(m_pool, responder, *fault, [this, &request] { return execute(request); });
        else
            responder->respond(execute(request));
    }

    http::Response TableStandIn::execute(const Request& request)
    {
        const bool isWrite = request.path() == "/v1/transact";
        if (!admit(isWrite))
            return { 503, {}, "unavailable" };
        if (isWrite)
            return transact(request.body);
        if (request.path() == "/v1/row")
            return read(request);
        if (request.path() == "/v1/rows")
            return scan(request);
        return { 404, {}, "no such path" };
    }

} // namespace

Result<std::unique_ptr<StandIn>> startTable(http::IoPool& pool, const Clock& clock, const TableOptions& options)
{
    auto table = std::make_unique<TableStandIn>(pool, clock, options);
    http::ServerOptions serverOptions;
    serverOptions.listen = options.listen;
    serverOptions.maxBodyBytes = 64U << 20U;
    auto* raw = table.get();
    BOOST_OUTCOME_TRY(auto server,
        http::Server::listen(
            pool, serverOptions, [raw](const Request& request, const std::shared_ptr<Responder>& responder) {
                raw->handle(request, responder);
            }));
    table->setServer(std::move(server));
    return std::unique_ptr<StandIn>(std::move(table));
}

} // namespace foxtailwheel::standin
