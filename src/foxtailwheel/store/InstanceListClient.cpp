#include "foxtailwheel/store/Clients.h"

#include "foxtailwheel/base/Json.h"

namespace foxtailwheel::store {

namespace {

    using nlohmann::json;

    InstanceListResult parseInstanceList(const std::string& body)
    {
        InstanceListResult result;
        const auto root = parseJson(body);
        if (!root.is_object() || !root.contains("instances"))
            return result;
        for (const auto& it : arrayAt(root, "instances")) {
            ListedInstance entry;
            entry.id = InstanceId(textAt(it, "id"));
            entry.zone = AvailabilityZoneId(textAt(it, "zone"));
            entry.region = textAt(it, "region");
            entry.leaving = flagAt(it, "leaving");
            if (!entry.id.empty() && config::parseEndpoint(textAt(it, "peers"), entry.endpoint))
                result.instances.push_back(std::move(entry));
        }
        for (const auto& it : arrayAt(root, "leaving_servers")) {
            if (it.is_string())
                result.leavingServers.emplace_back(it.get<std::string>());
        }
        result.succeeded = true;
        return result;
    }

    class HttpInstanceList final : public InstanceList {
    public:
        HttpInstanceList(http::Client& client, config::Endpoint server)
            : m_client(client)
            , m_server(std::move(server))
        {
        }

        void fetch(TimePoint deadline, std::function<void(InstanceListResult)> done) override
        {
            http::CallRequest call { m_server, { "GET", "/v1/instances", {}, {} }, deadline, deadline, true };
            http::CallCallbacks callbacks;
            callbacks.onDone = [done = std::move(done)](const http::CallResult& result) {
                const bool succeeded
                    = result.outcome == http::TransportOutcome::Complete && result.response.status == 200;
                done(succeeded ? parseInstanceList(result.response.body) : InstanceListResult());
            };
            m_client.start(std::move(call), std::move(callbacks));
        }

        void announce(const ListedInstance& self, TimePoint deadline) override
        {
            const json body { { "id", self.id.value() }, { "zone", self.zone.value() }, { "region", self.region },
                { "peers", self.endpoint.toString() }, { "leaving", self.leaving } };
            http::CallRequest call { m_server,
                { "PUT", "/v1/instances/" + http::percentEncode(self.id.value()), {}, body.dump() }, deadline, deadline,
                true };
            http::CallCallbacks callbacks;
            callbacks.onDone = [](const http::CallResult&) {};
            m_client.start(std::move(call), std::move(callbacks));
        }

    private:
        http::Client& m_client;
        config::Endpoint m_server;
    };

} // namespace

std::unique_ptr<InstanceList> instanceListClient(http::Client& client, config::Endpoint server)
{
    return std::make_unique<HttpInstanceList>(client, std::move(server));
}

} // namespace foxtailwheel::store
