#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/store/CircuitBreaker.h"
#include "foxtailwheel/store/Clients.h"

#include <mutex>

namespace foxtailwheel::store {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t maxConcurrentCalls = 64;

    json toJson(const Transaction& transaction)
    {
        json conditions = json::array();
        for (const auto& it : transaction.conditions)
            conditions.push_back({ { "key", it.key }, { "version", it.version ? json(*it.version) : json() } });
        json writes = json::array();
        for (const auto& it : transaction.writes)
            writes.push_back({ { "key", it.key }, { "value", it.value ? json(*it.value) : json() } });
        return { { "conditions", std::move(conditions) }, { "writes", std::move(writes) } };
    }

    bool parseRows(const std::string& body, std::vector<Row>& rows)
    {
        const auto root = parseJson(body);
        if (!root.is_object() || !root.contains("rows") || !root["rows"].is_array())
            return false;
        for (const auto& it : root["rows"]) {
            rows.push_back({ textAt(it, "key"), textAt(it, "value"), unsignedAt(it, "version") });
        }
        return true;
    }

    class HttpTable final : public Table {
    public:
        HttpTable(http::Client& client, const Clock& clock, config::Endpoint server, std::uint64_t seed)
            : m_client(client)
            , m_clock(clock)
            , m_server(std::move(server))
            , m_breaker(maxConcurrentCalls, seed)
        {
        }

        void transact(Transaction transaction, TimePoint deadline, std::function<void(TransactResult)> done) override;
        void read(std::string key, TimePoint deadline, std::function<void(ReadResult)> done) override;
        void scan(std::string prefix, std::string after, std::size_t limit, TimePoint deadline,
            std::function<void(ReadResult)> done) override;

    private:
        void get(std::string target, TimePoint deadline, std::function<void(ReadResult)> done);
        bool tryAcquire();
        void onCallEnded(bool succeeded);
        static TransactResult classifyResponse(const http::CallResult& result);

        http::Client& m_client;
        const Clock& m_clock;
        config::Endpoint m_server;
        std::mutex m_mutex;
        CircuitBreaker m_breaker;
    };

    bool HttpTable::tryAcquire()
    {
        const std::lock_guard lock(m_mutex);
        return m_breaker.tryAcquire(m_clock.now());
    }

    void HttpTable::onCallEnded(bool succeeded)
    {
        const std::lock_guard lock(m_mutex);
        m_breaker.onCallEnded(succeeded, m_clock.now());
    }

    TransactResult HttpTable::classifyResponse(const http::CallResult& result)
    {
        TransactResult transactResult;
        if (result.outcome == http::TransportOutcome::NotSent)
            return transactResult;
        transactResult.outcome = TransactOutcome::Ambiguous;
        if (result.outcome != http::TransportOutcome::Complete)
            return transactResult;
        if (result.response.status == 200)
            transactResult.outcome = TransactOutcome::Applied;
        else if (result.response.status == 409 && parseRows(result.response.body, transactResult.conflicts))
            transactResult.outcome = TransactOutcome::ConditionFailed;
        else if (result.response.status == 400 || result.response.status == 429 || result.response.status == 503)
            transactResult.outcome = TransactOutcome::NotApplied;
        return transactResult;
    }

    void HttpTable::transact(Transaction transaction, TimePoint deadline, std::function<void(TransactResult)> done)
    {
        if (!tryAcquire()) {
            done({});
            return;
        }
        http::CallRequest call { m_server,
            { "POST", "/v1/transact", { { "Content-Type", "application/json" } }, toJson(transaction).dump() },
            deadline, deadline, false };
        http::CallCallbacks callbacks;
        callbacks.onDone = [this, done = std::move(done)](const http::CallResult& result) {
            const auto transactResult = classifyResponse(result);
            onCallEnded(transactResult.outcome == TransactOutcome::Applied
                || transactResult.outcome == TransactOutcome::ConditionFailed);
            done(transactResult);
        };
        m_client.start(std::move(call), std::move(callbacks));
    }

    void HttpTable::get(std::string target, TimePoint deadline, std::function<void(ReadResult)> done)
    {
        if (!tryAcquire()) {
            done({});
            return;
        }
        http::CallRequest call { m_server, { "GET", std::move(target), {}, {} }, deadline, deadline, true };
        http::CallCallbacks callbacks;
        callbacks.onDone = [this, done = std::move(done)](const http::CallResult& result) {
            ReadResult readResult;
            const bool succeeded = result.outcome == http::TransportOutcome::Complete && result.response.status == 200;
            readResult.succeeded = succeeded && parseRows(result.response.body, readResult.rows);
            onCallEnded(readResult.succeeded);
            done(std::move(readResult));
        };
        m_client.start(std::move(call), std::move(callbacks));
    }

    void HttpTable::read(std::string key, TimePoint deadline, std::function<void(ReadResult)> done)
    {
        get("/v1/row?key=" + http::percentEncode(key), deadline, std::move(done));
    }

    void HttpTable::scan(std::string prefix, std::string after, std::size_t limit, TimePoint deadline,
        std::function<void(ReadResult)> done)
    {
        get("/v1/rows?prefix=" + http::percentEncode(prefix) + "&after=" + http::percentEncode(after)
                + "&limit=" + std::to_string(limit),
            deadline, std::move(done));
    }

} // namespace

std::unique_ptr<Table> tableClient(
    http::Client& client, const Clock& clock, config::Endpoint server, std::uint64_t seed)
{
    return std::make_unique<HttpTable>(client, clock, std::move(server), seed);
}

} // namespace foxtailwheel::store
