#include "foxtailwheel/config/Settings.h"

#include "foxtailwheel/base/File.h"
#include "foxtailwheel/config/YamlReader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace foxtailwheel::config {

namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t minSecretBytes = 16;
    constexpr std::uint64_t maxMemoryMegabytes = 1U << 24U;

    Endpoint readEndpoint(YamlReader& reader, std::string_view key)
    {
        Endpoint endpoint;
        const auto text = reader.text(key);
        if (!text.empty() && !parseEndpoint(text, endpoint))
            reader.reportFault(
                key, "'" + text + "' is not an IPv4 address and a port", "write for example 127.0.0.1:8080");
        return endpoint;
    }

    std::string readSecret(YamlReader& reader, std::string_view key)
    {
        const auto path = reader.text(key);
        if (path.empty())
            return {};
        const auto text = readFile(path);
        if (!text) {
            reader.reportFault(key, text.error().message());
            return {};
        }
        auto secret = text.value();
        secret.erase(secret.find_last_not_of(" \r\n") + 1);
        if (secret.size() < minSecretBytes)
            reader.reportFault(key, "'" + path + "' contains fewer than 16 bytes", "write a longer secret");
        return secret;
    }

    void readLimits(YamlReader& root, Settings& settings)
    {
        settings.threads = static_cast<std::uint32_t>(root.unsignedInteger("threads", 2, 1, 256));
        settings.shards = static_cast<std::uint32_t>(root.unsignedInteger("shards", 8, 1, 1024));
        settings.maxBodyBytes = root.size("max_body", 1U << 20U, 1024, 64U << 20U);
        settings.maxChunkHeaderBytes
            = static_cast<std::uint32_t>(root.size("max_chunk_header", 16U << 10U, 256, 1U << 20U));
        settings.maxTrailerBytes = static_cast<std::uint32_t>(root.size("max_trailers", 16U << 10U, 256, 1U << 20U));
        settings.maxReadBufferBytes
            = static_cast<std::uint32_t>(root.size("max_read_buffer", 16U << 10U, 4096, 16U << 20U));
        settings.maxConnections
            = static_cast<std::uint32_t>(root.unsignedInteger("max_connections", 4096, 16, 1U << 20U));
        if (const auto megabytes = root.unsignedInteger("memory_mb", 0, 0, maxMemoryMegabytes); megabytes > 0)
            settings.memoryBytes = megabytes << 20U;
        settings.balancerDelay = root.duration("balancer_delay", 2s, 0ms, 60s);
        settings.drainTimeout = root.duration("drain_limit", 60s, 1s, 1h);
    }

    bool isIpv4Address(std::string_view text)
    {
        for (int i = 0; i < 4; ++i) {
            std::uint8_t n = 0;
            const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
            const auto digits = static_cast<std::size_t>(end - text.data());
            if (ec != std::errc {} || (digits > 1 && text.starts_with('0')))
                return false;
            text.remove_prefix(digits);
            if (i < 3 && !text.starts_with('.'))
                return false;
            text.remove_prefix(i < 3 ? 1 : 0);
        }
        return text.empty();
    }

} // namespace

bool parseEndpoint(const std::string& text, Endpoint& endpoint)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return false;
    const auto host = text.substr(0, colon);
    std::uint16_t port = 0;
    const auto* last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data() + colon + 1, last, port);
    if (!isIpv4Address(host) || ec != std::errc {} || end != last)
        return false;
    endpoint = { host, port };
    return true;
}

ParsedSettings parseSettings(const std::string& text)
{
    ParsedSettings out;
    auto root = YamlReader::parse(text, out.faults);
    auto& settings = out.settings;
    settings.instance = InstanceId(root.text("instance"));
    settings.zone = AvailabilityZoneId(root.text("zone"));
    settings.region = root.text("region");
    settings.callers = readEndpoint(root, "callers");
    settings.operators = readEndpoint(root, "operators");
    settings.peers = readEndpoint(root, "peers");
    settings.table = readEndpoint(root, "table");
    settings.instanceList = readEndpoint(root, "instance_list");
    readLimits(root, settings);
    constexpr std::array<std::string_view, 4> levels { "error", "warn", "info", "debug" };
    settings.logLevel = levels.at(root.choice("log_level", 2, { levels.begin(), levels.end() }));
    settings.operatorToken = readSecret(root, "operator_token_file");
    settings.peerKey = readSecret(root, "peer_key_file");
    root.reportUnknownKeys();
    return out;
}

} // namespace foxtailwheel::config
