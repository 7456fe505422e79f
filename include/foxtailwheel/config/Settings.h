#pragma once

#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/base/Units.h"
#include "foxtailwheel/config/Fault.h"

#include <cstdint>
#include <string>
#include <vector>

namespace foxtailwheel::config {

/// @brief A network address: a numeric host and a port.
struct Endpoint {
    std::string host;
    std::uint16_t port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend bool operator==(const Endpoint&, const Endpoint&) = default;
    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
};

/// @brief Settings of one instance, apart from the declarations.
struct Settings {
    InstanceId instance;
    AvailabilityZoneId zone;
    std::string region;
    Endpoint callers; ///< Where callers connect.
    Endpoint operators; ///< Where the command-line tool connects.
    Endpoint peers; ///< Where other instances connect.
    Endpoint table; ///< The platform's table service.
    Endpoint instanceList; ///< The platform's list of live instances.
    std::uint32_t threads = 2;
    std::uint32_t shards = 8;
    std::uint64_t maxBodyBytes = 1U << 20U;
    std::uint32_t maxConnections = 4096;
    Duration balancerDelay {}; ///< Time between failing readiness and refusing new work on shutdown.
    Duration drainLimit {}; ///< Longest graceful shutdown.
    std::string logLevel;
    std::string operatorToken;
    std::string peerKey;
};

/// @brief Outcome of reading settings.
struct ParsedSettings {
    Settings settings;
    Faults faults;

    bool valid() const { return faults.empty(); }
};

/// @brief Reads and checks an instance's settings; secrets are read from the files that they name.
ParsedSettings parseSettings(const std::string& text);

/// @brief Reads `host:port`; false where it is not one.
bool parseEndpoint(const std::string& text, Endpoint& endpoint);

} // namespace foxtailwheel::config
