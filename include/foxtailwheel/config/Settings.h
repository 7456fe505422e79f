#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Fault.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief A network address: a numeric IPv4 host and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// @brief Settings of one instance, which are separate from the declarations.
struct Settings {
    InstanceId instance;
    AvailabilityZoneId zone;
    std::string region;
    Endpoint callers; ///< Listening address for callers.
    Endpoint operators; ///< Listening address for the command-line tool.
    Endpoint peers; ///< Listening address for other instances.
    Endpoint table; ///< Address of the platform's table service.
    Endpoint instanceList; ///< Address of the platform's list of live instances.
    std::uint32_t threads = 2;
    std::uint32_t shards = 8;
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxChunkHeaderBytes = 16U << 10U; ///< Of a request, one chunk with its extensions.
    std::uint32_t maxTrailerBytes = 16U << 10U; ///< Of all trailers of a request.
    std::uint32_t maxReadBufferBytes = 16U << 10U; ///< Bytes of a connection that are received and not yet parsed.
    std::uint32_t maxConnections = 4096;
    /// Memory of the instance, of which half may be held for callers and servers; empty for that of the machine.
    std::optional<std::uint64_t> memoryBytes;
    Duration balancerDelay {}; ///< Time on shutdown between failing readiness checks and rejecting new requests.
    Duration drainTimeout {}; ///< Timeout of a graceful shutdown.
    std::string logLevel;
    std::string operatorToken;
    std::string peerKey;
};

/// @brief Result of parsing settings; the settings are complete only without faults.
struct ParsedSettings {
    Settings settings;
    Faults faults;

    bool valid() const { return faults.empty(); }
};

/// @brief Parses and validates the settings of an instance; secrets are read from the files named there.
ParsedSettings parseSettings(const std::string& text);

/// @brief Parses `host:port`; returns false and leaves `endpoint` unchanged if the text is malformed.
bool parseEndpoint(const std::string& text, Endpoint& endpoint);

} // namespace foxtailwheel::config
