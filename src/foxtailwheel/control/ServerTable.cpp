#include "foxtailwheel/control/ServerTable.h"

#include <map>
#include <utility>

namespace foxtailwheel::control {

bool ServerTable::apply(const TableReplica& table, bool rowsChanged, TimePoint now)
{
    if (!table.available)
        return false;
    const bool isFirstRead = !std::exchange(m_known, true);
    const bool isRestored = !isFirstRead && table.epoch != m_epoch;
    m_epoch = table.epoch;
    if (isRestored)
        m_registry.onStoreRestored();
    if (!rowsChanged && !isFirstRead && !isRestored)
        return false;
    std::map<BackendServerId, serving::AnnouncedServer> entries;
    for (const auto& [id, text] : table.rows) {
        if (auto server = m_decode(id, text))
            entries.emplace(BackendServerId(id), std::move(*server));
    }
    m_registry.update(entries, table.lastUnavailableAt, table.recoveredAt, now);
    return true;
}

} // namespace foxtailwheel::control
