#include "FaultyResponse.h"
#include "foxtailwheel/base/Json.h"
#include "foxtailwheel/http/Server.h"
#include "foxtailwheel/limits/TokenBucket.h"
#include "foxtailwheel/standin/FaultInjector.h"
#include "foxtailwheel/standin/Platform.h"

#include <map>
#include <mutex>
#include <set>

namespace foxtailwheel::standin {

namespace {

    using namespace std::chrono_literals;
    using http::Request;
    using http::Responder;
    using nlohmann::json;

    constexpr Duration entryLifetime = 30s;

    class InstanceListStandIn final : public StandIn {
    public:
        InstanceListStandIn(http::IoPool& pool, const Clock& clock, Duration propagationDelay)
            : m_pool(pool)
            , m_clock(clock)
            , m_propagationDelay(propagationDelay)
        {
        }

        void handle(const Request& request, const std::shared_ptr<Responder>& responder);
        void setServer(std::unique_ptr<http::Server> server) { m_server = std::move(server); }

    private:
        struct Entry {
            json registration;
            TimePoint firstSeen;
            TimePoint lastSeen;
        };

        http::Response execute(const Request& request);
        http::Response listInstances();
        void registerInstance(const Request& request);

        http::IoPool& m_pool;
        const Clock& m_clock;
        Duration m_propagationDelay;
        std::mutex m_mutex;
        std::map<std::string, Entry> m_entries;
        std::map<std::string, TimePoint> m_leavingServers;
        FaultInjector m_faults;
        std::unique_ptr<http::Server> m_server;
    };

    http::Response InstanceListStandIn::listInstances()
    {
        const auto now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_entries, [now](const auto& it) { return now - it.second.lastSeen > entryLifetime; });
        json instances = json::array();
        for (const auto& it : m_entries) {
            if (now - it.second.firstSeen >= m_propagationDelay)
                instances.push_back(it.second.registration);
        }
        json leaving = json::array();
        for (const auto& it : m_leavingServers) {
            if (now - it.second >= m_propagationDelay)
                leaving.push_back(it.first);
        }
        return { 200, {}, json { { "instances", instances }, { "leaving_servers", leaving } }.dump() };
    }

    void InstanceListStandIn::registerInstance(const Request& request)
    {
        auto registration = json::parse(request.body, nullptr, false);
        const auto id = textAt(registration, "id");
        const auto now = m_clock.now();
        const std::lock_guard lock(m_mutex);
        auto& entry = m_entries.try_emplace(id, Entry { {}, now, now }).first->second;
        entry.registration = std::move(registration);
        entry.lastSeen = now;
    }

    void InstanceListStandIn::handle(const Request& request, const std::shared_ptr<Responder>& responder)
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

    http::Response InstanceListStandIn::execute(const Request& request)
    {
        if (request.method == "GET" && request.path() == "/v1/instances")
            return listInstances();
        if (request.method == "PUT" && request.path().starts_with("/v1/instances/")) {
            registerInstance(request);
            return { 200, {}, "{}" };
        }
        if (request.method == "PUT" && request.path().starts_with("/v1/leaving-servers/")) {
            const std::string id(request.path().substr(std::string_view("/v1/leaving-servers/").size()));
            const std::lock_guard lock(m_mutex);
            m_leavingServers.emplace(id, m_clock.now());
            return { 200, {}, "{}" };
        }
        return { 404, {}, "no such path" };
    }

    /// Serves weight downloads up to a rate limit and refuses the rest.
    class WeightStoreStandIn final : public StandIn {
    public:
        WeightStoreStandIn(const Clock& clock, double loadsPerSecond)
            : m_clock(clock)
            , m_loadRateLimiter(loadsPerSecond, 1, clock.now())
        {
        }

        void handle(const std::shared_ptr<Responder>& responder)
        {
            const std::lock_guard lock(m_mutex);
            const bool allowed = m_loadRateLimiter.tryAcquire(1, m_clock.now());
            responder->respond({ allowed ? 200U : 429U, {}, allowed ? "weights" : "too many loads" });
        }
        void setServer(std::unique_ptr<http::Server> server) { m_server = std::move(server); }

    private:
        const Clock& m_clock;
        std::mutex m_mutex;
        limits::TokenBucket m_loadRateLimiter;
        std::unique_ptr<http::Server> m_server;
    };

} // namespace

Result<std::unique_ptr<StandIn>> startInstanceList(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, Duration propagationDelay)
{
    auto list = std::make_unique<InstanceListStandIn>(pool, clock, propagationDelay);
    http::ServerOptions options;
    options.listen = std::move(listen);
    auto* raw = list.get();
    BOOST_OUTCOME_TRY(auto server,
        http::Server::listen(pool, options, [raw](const Request& request, const std::shared_ptr<Responder>& responder) {
            raw->handle(request, responder);
        }));
    list->setServer(std::move(server));
    return std::unique_ptr<StandIn>(std::move(list));
}

Result<std::unique_ptr<StandIn>> startWeightStore(
    http::IoPool& pool, const Clock& clock, config::Endpoint listen, double loadsPerSecond)
{
    auto store = std::make_unique<WeightStoreStandIn>(clock, loadsPerSecond);
    http::ServerOptions options;
    options.listen = std::move(listen);
    auto* raw = store.get();
    BOOST_OUTCOME_TRY(auto server,
        http::Server::listen(
            pool, options, [raw](const Request& /*request*/, const std::shared_ptr<Responder>& responder) {
                raw->handle(responder);
            }));
    store->setServer(std::move(server));
    return std::unique_ptr<StandIn>(std::move(store));
}

} // namespace foxtailwheel::standin
