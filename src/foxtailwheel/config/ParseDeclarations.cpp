#include "foxtailwheel/config/Declarations.h"
#include "foxtailwheel/config/Settings.h"
#include "foxtailwheel/config/YamlReader.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace foxtailwheel::config {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t maxTextBytes = 16U << 20U;
    constexpr std::size_t maxStages = 6;
    constexpr Duration maxDeadline = 10min;
    constexpr std::size_t sha256HexDigits = 64;

    /// Parses the sections in order and validates the references between them.
    class DeclarationsParser {
    public:
        DeclarationsParser(const std::string& text, ParsedDeclarations& out)
            : m_out(out)
            , m_root(YamlReader::parse(text, out.faults))
        {
        }

        void run();

    private:
        void readZones();
        void readLinks();
        void readServices();
        void readServers(YamlReader& reader, Service& service);
        void readPipelines();
        void readAccounts();
        void checkDependencies();
        bool dependsOnTransitively(const ServiceId& from, const ServiceId& to, std::set<ServiceId>& visited) const;
        void checkPipeline(YamlReader& reader, const Pipeline& pipeline);
        AvailabilityZoneId readZone(YamlReader& reader, std::string_view key);

        /// Reads the name of an entry; an empty name, a slash and a duplicate are faults.
        template <class Id> Id readName(YamlReader& reader, std::set<Id>& names)
        {
            Id id(reader.text("name"));
            if (id.value().find('/') != std::string::npos)
                reader.reportFault("name", "must not contain a slash");
            if (!id.empty() && !names.insert(id).second)
                reader.reportFault("name", "'" + id.value() + "' is declared twice", "choose another name");
            return id;
        }

        ParsedDeclarations& m_out;
        YamlReader m_root;
        std::vector<YamlReader> m_serviceReaders;
        std::set<AvailabilityZoneId> m_zones;
        std::set<ServiceId> m_services;
        std::set<BackendServerId> m_servers;
        std::map<std::string, BackendServerId> m_addresses;
        std::set<PipelineId> m_pipelines;
        std::map<ServiceId, PipelineId> m_owningPipelines;
        std::set<ClientAccountId> m_accounts;
    };

    std::vector<std::string> toNames(const std::set<ServiceId>& ids)
    {
        std::vector<std::string> names;
        for (const auto& it : ids)
            names.push_back(it.value());
        return names;
    }

    std::string formatSuggestion(const std::string& word, const std::vector<std::string>& words)
    {
        const auto nearest = nearestWord(word, words);
        return nearest.empty() ? std::string() : "did you mean `" + nearest + "`?";
    }

    void DeclarationsParser::run()
    {
        readZones();
        readLinks();
        readServices();
        checkDependencies();
        readPipelines();
        readAccounts();
        m_root.reportUnknownKeys();
        std::sort(m_out.faults.begin(), m_out.faults.end(), [](const Fault& a, const Fault& b) {
            return std::tie(a.line, a.column, a.path, a.message) < std::tie(b.line, b.column, b.path, b.message);
        });
    }

    void DeclarationsParser::readZones()
    {
        for (auto& reader : m_root.list("zones")) {
            Zone zone;
            zone.id = readName(reader, m_zones);
            zone.region = reader.text("region");
            zone.drained = reader.flag("drained", false);
            reader.reportUnknownKeys();
            m_out.declarations.zones.push_back(std::move(zone));
        }
        if (m_out.declarations.zones.empty())
            m_root.reportFault("zones", "needs at least one availability zone");
    }

    AvailabilityZoneId DeclarationsParser::readZone(YamlReader& reader, std::string_view key)
    {
        AvailabilityZoneId zone(reader.text(key));
        if (zone.empty() || m_zones.contains(zone))
            return zone;
        std::vector<std::string> names;
        for (const auto& it : m_zones)
            names.push_back(it.value());
        reader.reportFault(
            key, "no availability zone '" + zone.value() + "' is declared", formatSuggestion(zone.value(), names));
        return zone;
    }

    void DeclarationsParser::readLinks()
    {
        for (auto& reader : m_root.list("links")) {
            Link link;
            link.from = readZone(reader, "from");
            link.to = readZone(reader, "to");
            link.oneWay = reader.duration("one_way", {}, 0ms, 1s);
            link.price = reader.cost("price", Cost {});
            if (link.from == link.to)
                reader.reportFault("to", "a link must connect two different zones");
            if (m_out.declarations.findLink(link.from, link.to) != nullptr)
                reader.reportFault("from", "the two zones are linked twice", "keep one of the links");
            reader.reportUnknownKeys();
            m_out.declarations.links.push_back(std::move(link));
        }
    }

    void DeclarationsParser::readServices()
    {
        m_serviceReaders = m_root.list("services");
        for (auto& reader : m_serviceReaders) {
            Service service;
            service.id = readName(reader, m_services);
            service.kind = static_cast<ServiceKind>(
                reader.choice("kind", {}, { "encoder", "retriever", "reranker", "model-engine", "plain" }));
            for (auto& it : reader.texts("depends_on"))
                service.dependsOn.emplace_back(it);
            service.idempotent = reader.flag("idempotent", true);
            service.typicalTime = reader.duration("typical_time", {}, 100us, maxDeadline);
            service.concurrency = static_cast<std::uint32_t>(reader.unsignedInteger("concurrency", 1, 1, 4096));
            service.price = reader.cost("price", Cost {});
            service.costWeight = reader.number("cost_weight", 0, 0, 1e6);
            service.fencing = static_cast<Fencing>(reader.choice("fencing", 0, { "checked", "ignored" }));
            service.model = reader.text("model", "");
            if (!service.model.empty() && service.kind != ServiceKind::ModelEngine)
                reader.reportFault("model", "only a model-engine has a model", "remove it");
            readServers(reader, service);
            reader.reportUnknownKeys();
            m_out.declarations.services.push_back(std::move(service));
        }
        if (m_out.declarations.services.empty())
            m_root.reportFault("services", "needs at least one service");
    }

    void DeclarationsParser::readServers(YamlReader& reader, Service& service)
    {
        for (auto& entry : reader.list("servers")) {
            BackendServer server;
            server.id = readName(entry, m_servers);
            const auto address = entry.text("address");
            Endpoint endpoint;
            if (!parseEndpoint(address, endpoint))
                entry.reportFault("address", "'" + address + "' is not an IPv4 address and a port",
                    "write for example 10.0.0.7:9000");
            else if (const auto [it, inserted] = m_addresses.emplace(address, server.id); !inserted)
                entry.reportFault("address", "is already used by '" + it->second.value() + "'");
            server.host = endpoint.host;
            server.port = endpoint.port;
            server.zone = readZone(entry, "zone");
            entry.reportUnknownKeys();
            service.servers.push_back(std::move(server));
        }
        if (service.servers.empty())
            reader.reportFault("servers", "needs at least one backend server");
    }

    bool DeclarationsParser::dependsOnTransitively(
        const ServiceId& from, const ServiceId& to, std::set<ServiceId>& visited) const
    {
        if (!visited.insert(from).second)
            return false;
        const auto* service = m_out.declarations.findService(from);
        if (service == nullptr)
            return false;
        return std::any_of(service->dependsOn.begin(), service->dependsOn.end(),
            [&](const ServiceId& it) { return it == to || dependsOnTransitively(it, to, visited); });
    }

    void DeclarationsParser::checkDependencies()
    {
        for (std::size_t i = 0; i < m_out.declarations.services.size(); ++i) {
            const auto& service = m_out.declarations.services[i];
            auto& reader = m_serviceReaders[i];
            std::set<ServiceId> uniqueDependencies;
            for (const auto& it : service.dependsOn) {
                if (!m_services.contains(it))
                    reader.reportFault("depends_on", "no service '" + it.value() + "' is declared",
                        formatSuggestion(it.value(), toNames(m_services)));
                if (!uniqueDependencies.insert(it).second)
                    reader.reportFault("depends_on", "'" + it.value() + "' is listed twice", "remove one of them");
            }
            std::set<ServiceId> visited;
            if (dependsOnTransitively(service.id, service.id, visited))
                reader.reportFault("depends_on", "'" + service.id.value() + "' depends on itself through a cycle");
        }
    }

    void DeclarationsParser::checkPipeline(YamlReader& reader, const Pipeline& pipeline)
    {
        const auto& declarations = m_out.declarations;
        if (declarations.findService(pipeline.result) == nullptr) {
            reader.reportFault("result", "no service '" + pipeline.result.value() + "' is declared",
                formatSuggestion(pipeline.result.value(), toNames(m_services)));
            return;
        }
        const auto order = dependencyOrder(declarations, pipeline.result);
        if (order.size() > maxStages)
            reader.reportFault("result",
                "has " + std::to_string(order.size()) + " stages; at most " + std::to_string(maxStages)
                    + " are allowed");
        for (const auto& it : order) {
            if (declarations.findService(it)->idempotent)
                continue;
            const auto [owner, inserted] = m_owningPipelines.emplace(it, pipeline.id);
            if (!inserted && it != pipeline.result)
                reader.reportFault("result",
                    "non-idempotent service '" + it.value() + "' would run for pipeline '" + owner->second.value()
                        + "' too",
                    "let one pipeline own it");
        }
    }

    void DeclarationsParser::readPipelines()
    {
        for (auto& reader : m_root.list("pipelines")) {
            Pipeline pipeline;
            pipeline.id = readName(reader, m_pipelines);
            pipeline.result = ServiceId(reader.text("result"));
            pipeline.deadline = reader.duration("deadline", {}, 1ms, maxDeadline);
            pipeline.priority = static_cast<std::uint32_t>(reader.unsignedInteger("priority", 0, 0, 9));
            checkPipeline(reader, pipeline);
            reader.reportUnknownKeys();
            m_out.declarations.pipelines.push_back(std::move(pipeline));
        }
    }

    void DeclarationsParser::readAccounts()
    {
        for (auto& reader : m_root.list("accounts")) {
            ClientAccount account;
            account.id = readName(reader, m_accounts);
            account.weight = reader.number("weight", 1, 0.001, 1e6);
            account.ratePerSecond = reader.rate("rate", 0);
            account.credentialSha256 = reader.text("credential_sha256");
            const bool hex = account.credentialSha256.find_first_not_of("0123456789abcdef") == std::string::npos;
            if (!account.credentialSha256.empty() && (!hex || account.credentialSha256.size() != sha256HexDigits))
                reader.reportFault(
                    "credential_sha256", "must be 64 lower-case hexadecimal digits", "use the output of `sha256sum`");
            reader.reportUnknownKeys();
            m_out.declarations.accounts.push_back(std::move(account));
        }
    }

} // namespace

ParsedDeclarations parseDeclarations(const std::string& text)
{
    ParsedDeclarations out;
    if (text.size() > maxTextBytes) {
        out.faults.push_back({ 0, 0, {}, "the text is larger than 16 MiB", {} });
        return out;
    }
    DeclarationsParser(text, out).run();
    return out;
}

} // namespace foxtailwheel::config
