#pragma once

#include "foxtailwheel/control/ServerRegistry.h"
#include "foxtailwheel/control/TableFollower.h"

#include <functional>
#include <optional>
#include <string>

namespace foxtailwheel::control {

/// @brief Keeps the announced backend servers in step with the replica of their table. Not thread-safe.
class ServerTable {
public:
    /// @brief Decodes the row of a server; empty for a row that announces none.
    using Decode
        = std::function<std::optional<serving::AnnouncedServer>(const std::string& id, const std::string& text)>;

    /// @param maxRetention See `ServerRegistry`.
    ServerTable(Duration maxRetention, Decode decode)
        : m_registry(maxRetention)
        , m_decode(std::move(decode))
    {
    }

    /// @brief Applies what the replica has.
    /// @return True if the servers were read from it again.
    bool apply(const TableReplica& table, bool rowsChanged, TimePoint now);
    /// @brief Returns false until the table has been read.
    bool isKnown() const { return m_known; }
    ServerRegistry& registry() { return m_registry; }

private:
    ServerRegistry m_registry;
    Decode m_decode;
    bool m_known = false;
    store::StoreEpoch m_epoch; ///< Epoch of the known servers.
};

} // namespace foxtailwheel::control
