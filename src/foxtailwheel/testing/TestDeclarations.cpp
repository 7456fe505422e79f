#include "TestDeclarations.h"

namespace foxtailwheel::testing {

using namespace std::chrono_literals;

config::Service makeService(const std::string& name, config::ServiceKind kind, std::size_t servers)
{
    config::Service service;
    service.id = ServiceId(name);
    service.kind = kind;
    service.typicalTime = 10ms;
    service.concurrency = 4;
    service.price = { 10 };
    for (std::size_t i = 0; i < servers; ++i) {
        const auto zone = AvailabilityZoneId(i % 2 == 0 ? "a" : "b");
        service.servers.push_back({ BackendServerId(name + "-" + std::to_string(i)), "127.0.0.1",
            static_cast<std::uint16_t>(9000 + i), zone });
    }
    return service;
}

std::shared_ptr<const config::Declarations> smallDeployment(std::size_t servers)
{
    auto declarations = std::make_shared<config::Declarations>();
    declarations->zones = { { AvailabilityZoneId("a"), "r" }, { AvailabilityZoneId("b"), "r" } };
    declarations->links = { { AvailabilityZoneId("a"), AvailabilityZoneId("b"), 3ms, { 5 } } };
    declarations->services.push_back(makeService("encode", config::ServiceKind::Encoder, servers));
    declarations->services.push_back(makeService("retrieve", config::ServiceKind::Retriever, servers));
    declarations->services.back().dependsOn = { ServiceId("encode") };
    declarations->services.push_back(makeService("generate", config::ServiceKind::ModelEngine, servers));
    declarations->services.back().dependsOn = { ServiceId("retrieve") };
    declarations->services.push_back(makeService("booking", config::ServiceKind::Plain, servers));
    declarations->services.back().idempotent = false;
    declarations->pipelines.push_back({ PipelineId("answer"), ServiceId("generate"), 2s, 0 });
    declarations->pipelines.push_back({ PipelineId("book"), ServiceId("booking"), 1s, 0 });
    declarations->accounts.push_back({ ClientAccountId("coop"), 3, 0, std::string(64, 'a') });
    declarations->accounts.push_back({ ClientAccountId("shop"), 1, 0, std::string(64, 'b') });
    return declarations;
}

} // namespace foxtailwheel::testing
