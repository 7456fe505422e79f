#pragma once

#include "foxtailwheel/base/Clock.h"
#include "foxtailwheel/base/Error.h"
#include "foxtailwheel/base/Ids.h"
#include "foxtailwheel/config/Patch.h"
#include "foxtailwheel/store/Table.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace foxtailwheel::control {

/// @brief Identifies one change of the configuration; chosen by the operator's tool.
using ChangeId = StrongId<struct ChangeIdTag>;

/// @brief One accepted change and its audit record.
struct ConfigChange {
    ConfigVersion version;
    ChangeId id;
    std::string author;
    WallTime at {};
    std::string note; ///< Why, in the operator's words.
    std::vector<std::string> summary; ///< What changed, a line each.
    std::string textHash; ///< SHA-256 of the text.
    std::optional<config::Patch> patch; ///< From the version before; kept out of the audit trail.
};

/// @brief A change that an operator wants.
struct WantedChange {
    ConfigVersion base; ///< The version that the operator edited; 0 for none.
    ChangeId id;
    std::string author;
    std::string note;
    std::vector<std::string> summary;
    std::string text;
    std::string baseText; ///< Text of the base; empty where it is not at hand, and then the change carries no patch.
};

/// @brief How an attempt to change the configuration ended.
enum class ApplyEnd {
    Accepted,
    Conflict, ///< Another change came first.
    Unavailable, ///< Not accepted; the table could not be asked.
    Ambiguous, ///< It may have been accepted; ask again with the same change id.
};

/// @brief Outcome of an attempt to change the configuration.
struct ApplyResult {
    ApplyEnd end = ApplyEnd::Unavailable;
    ConfigVersion version; ///< The new version, or the one in the way.
};

/// @brief The configuration's head in the table.
struct ConfigHead {
    ConfigVersion version;
    ChangeId id;
    std::string textHash;
};

/// @brief Keys of the rows.
std::string configHeadKey();
std::string configTextKey(ConfigVersion version);
std::string configChangeKey(ConfigVersion version);
/// @brief Key of an audit record, in the order of time.
/// @param who Tells records of the same millisecond apart.
std::string auditKey(WallTime at, const std::string& who);

/// @brief Rows as text and back.
std::string encodeConfigChange(const ConfigChange& change);
std::optional<ConfigChange> decodeConfigChange(const std::string& text);
std::string encodeConfigHead(const ConfigHead& head);
std::optional<ConfigHead> decodeConfigHead(const std::string& text);

/// @brief What to ask of the table next.
enum class ApplyStep { Transact, ReadBack, Done };

/// @brief Decides one change from what the table answers; no I/O.
///
/// Head, text and audit record are written in one transaction under the condition that the head is the one that the
/// operator edited. A lost answer is resolved by the change id of the record at the wanted version.
class ApplyMachine {
public:
    ApplyMachine(WantedChange wanted, WallTime now);

    ApplyStep step() const { return m_step; }
    /// @brief The transaction of a `Transact` step.
    store::Transaction transaction() const;
    /// @brief The key of a `ReadBack` step.
    std::string readKey() const { return configChangeKey(m_change.version); }
    void onTransact(const store::TransactResult& result);
    void onRead(const store::ReadResult& result);
    /// @brief The time is over.
    void expire();
    const ApplyResult& result() const { return m_result; }

private:
    WantedChange m_wanted;
    ConfigChange m_change;
    ApplyStep m_step = ApplyStep::Transact;
    bool m_mayBeApplied = false;
    ApplyResult m_result;
};

/// @brief Texts older than this many versions are deleted by the change that makes them so.
constexpr std::uint64_t keptTexts = 50;

/// @brief Runs an `ApplyMachine` against the table.
/// @param done Called once, soon after `deadline` at the latest.
void applyChange(store::Table& table, const Clock& clock, WantedChange wanted, TimePoint deadline,
    std::function<void(ApplyResult)> done);

} // namespace foxtailwheel::control
