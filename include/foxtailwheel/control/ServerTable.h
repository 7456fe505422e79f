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

    /// @brief Applies the replica if it has changed since the last call, whichever call or peer it heard from and
    /// whether or not the store can be reached.
    /// @return True if it was applied.
    bool apply(const TableReplica& table, TimePoint now);
    /// @brief Returns false until the table has been read.
    bool isKnown() const { return m_revision > 0; }
    ServerRegistry& registry() { return m_registry; }

private:
    ServerRegistry m_registry;
    Decode m_decode;
    std::uint64_t m_revision = 0; ///< Revision that was applied last.
    store::StoreEpoch m_epoch; ///< Epoch of the known servers.
};

} // namespace foxtailwheel::control
