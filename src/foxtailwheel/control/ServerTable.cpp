#include "foxtailwheel/control/ServerTable.h"

#include <map>
#include <utility>

namespace foxtailwheel::control {

bool ServerTable::apply(const TableReplica& table, TimePoint now)
{
    const auto before = std::exchange(m_revision, table.revision);
    if (before == table.revision)
        return false;
    if (std::exchange(m_epoch, table.epoch) != table.epoch && before > 0)
        m_registry.onStoreRestored();
    std::map<BackendServerId, serving::AnnouncedServer> entries;
    for (const auto& [id, text] : table.rows) {
        if (auto server = m_decode(id, text))
            entries.emplace(BackendServerId(id), std::move(*server));
    }
    m_registry.update(entries, table.lastUnavailableAt, table.recoveredAt, now);
    return true;
}

} // namespace foxtailwheel::control
