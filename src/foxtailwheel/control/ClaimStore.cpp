#include "foxtailwheel/control/ClaimStore.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    constexpr Duration initialRetryDelay = 20ms;
    constexpr Duration maxRetryDelay = 2s;
    /// Maximum time after a run's deadline at which its call can still end and be recorded.
    constexpr std::chrono::milliseconds recordGracePeriod = 45s;

    class TableClaimStore final : public ClaimStore {
    public:
        TableClaimStore(store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, RunAfter runAfter)
            : m_table(table)
            , m_clock(clock)
            , m_self(std::move(self))
            , m_random(seed)
            , m_runAfter(std::move(runAfter))
        {
        }

        void acquire(const serving::AcquireClaim& call, std::function<void(pipeline::ClaimResult)> done) override;
        void complete(const serving::CompleteClaim& completion) override;
        std::size_t pendingRecords() const override;

    private:
        /// A claim whose result is pending.
        struct PendingClaim {
            ClaimStateMachine machine;
            TimePoint deadline;
            Duration retryDelay = initialRetryDelay;
            std::function<void(pipeline::ClaimResult)> done;
        };
        /// An outcome that is not yet written to the table.
        struct PendingRecord {
            std::string key;
            ClaimRow row;
            pipeline::ClaimOutcome outcome = pipeline::ClaimOutcome::Unknown;
            pipeline::Payload answer;
            TimePoint retryUntil;
            Duration retryDelay = initialRetryDelay;
        };
        using ClaimId = std::pair<RunId, StageIndex>;

        void runStep(const std::shared_ptr<PendingClaim>& pending, ClaimId id);
        void onTableResponse(const std::shared_ptr<PendingClaim>& pending, ClaimId id, bool progressed);
        void readAndWrite(const std::shared_ptr<PendingRecord>& pending);
        void writeRecord(const std::shared_ptr<PendingRecord>& pending, const store::Row& row);
        void retryRecord(const std::shared_ptr<PendingRecord>& pending);
        void onRecordDone();
        Duration withJitter(Duration retryDelay);

        store::Table& m_table;
        const Clock& m_clock;
        InstanceId m_self;
        mutable std::mutex m_mutex;
        Random m_random;
        RunAfter m_runAfter;
        std::map<ClaimId, ClaimRow> m_grantedClaims;
        std::size_t m_pendingRecords = 0;
    };

    Duration TableClaimStore::withJitter(Duration retryDelay)
    {
        const std::lock_guard lock(m_mutex);
        return fromSeconds(toSeconds(retryDelay) * (0.5 + m_random.uniform()));
    }

    void TableClaimStore::acquire(const serving::AcquireClaim& call, std::function<void(pipeline::ClaimResult)> done)
    {
        const auto now = m_clock.wallNow();
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - m_clock.now());
        ClaimRow row { {}, call.bodyHash, m_self, ClaimProgress::Claimed, {}, now + remaining + recordGracePeriod,
            now + claimRetention };
        {
            const std::lock_guard lock(m_mutex);
            row.token = AttemptToken(m_random.token());
        }
        auto pending
            = std::make_shared<PendingClaim>(PendingClaim { ClaimStateMachine(claimRowKey(call.key), std::move(row)),
                call.deadline, initialRetryDelay, std::move(done) });
        runStep(pending, { call.run, call.stage });
    }

    void TableClaimStore::runStep(const std::shared_ptr<PendingClaim>& pending, ClaimId id)
    {
        const auto callDeadline = std::min(pending->deadline, m_clock.now() + tableTimeout);
        if (pending->machine.step() == ClaimStep::Insert) {
            m_table.transact(pending->machine.insertTransaction(), callDeadline,
                [this, pending, id](const store::TransactResult& result) {
                    pending->machine.onInsert(result, m_clock.wallNow());
                    onTableResponse(pending, id, result.outcome != store::TransactOutcome::NotApplied);
                });
            return;
        }
        m_table.read(pending->machine.key(), callDeadline, [this, pending, id](const store::ReadResult& result) {
            pending->machine.onRead(result, m_clock.wallNow());
            onTableResponse(pending, id, result.succeeded);
        });
    }

    void TableClaimStore::onTableResponse(const std::shared_ptr<PendingClaim>& pending, ClaimId id, bool progressed)
    {
        if (m_clock.now() >= pending->deadline)
            pending->machine.onTimeout();
        if (pending->machine.step() != ClaimStep::Done) {
            const auto retryDelay = progressed
                ? Duration {}
                : std::min(withJitter(pending->retryDelay), std::max<Duration>(pending->deadline - m_clock.now(), 1ms));
            pending->retryDelay = std::min(pending->retryDelay * 2, maxRetryDelay);
            m_runAfter(retryDelay, [this, pending, id] {
                if (m_clock.now() < pending->deadline)
                    runStep(pending, id);
                else
                    onTableResponse(pending, id, false);
            });
            return;
        }
        const auto& machine = pending->machine;
        const bool granted = machine.result().state == pipeline::ClaimState::Granted;
        if (granted) {
            const std::lock_guard lock(m_mutex);
            m_grantedClaims.emplace(id, machine.requestedRow());
        } else if (machine.mayHaveInserted()) {
            const auto record = std::make_shared<PendingRecord>(PendingRecord { machine.key(), machine.requestedRow(),
                pipeline::ClaimOutcome::NotStarted, nullptr, m_clock.now() + recordRetryTimeout });
            {
                const std::lock_guard lock(m_mutex);
                ++m_pendingRecords;
            }
            m_runAfter(initialRetryDelay, [this, record] { readAndWrite(record); });
        }
        pending->done(machine.result());
    }

    void TableClaimStore::complete(const serving::CompleteClaim& completion)
    {
        auto pending = std::make_shared<PendingRecord>();
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_grantedClaims.find({ completion.run, completion.stage });
            if (it == m_grantedClaims.end())
                return;
            pending->row = std::move(it->second);
            m_grantedClaims.erase(it);
            ++m_pendingRecords;
        }
        pending->key = claimRowKey(completion.key);
        pending->outcome = completion.outcome;
        pending->answer = completion.answer;
        pending->retryUntil = m_clock.now() + recordRetryTimeout;
        // A newly inserted row has version 1. If the version differs, the condition fails and the row is read.
        writeRecord(pending, { pending->key, {}, 1 });
    }

    void TableClaimStore::readAndWrite(const std::shared_ptr<PendingRecord>& pending)
    {
        m_table.read(pending->key, m_clock.now() + tableTimeout, [this, pending](const store::ReadResult& result) {
            if (!result.succeeded) {
                retryRecord(pending);
                return;
            }
            const auto current = result.rows.empty() ? std::nullopt : decodeClaimRow(result.rows.front().value);
            const bool own
                = current && current->token == pending->row.token && current->progress == ClaimProgress::Claimed;
            if (own)
                writeRecord(pending, result.rows.front());
            else
                onRecordDone();
        });
    }

    void TableClaimStore::writeRecord(const std::shared_ptr<PendingRecord>& pending, const store::Row& row)
    {
        auto transaction
            = claimOutcomeTransaction(pending->key, pending->row, row.version, pending->outcome, pending->answer);
        m_table.transact(
            std::move(transaction), m_clock.now() + tableTimeout, [this, pending](const store::TransactResult& result) {
                if (result.outcome == store::TransactOutcome::Applied)
                    onRecordDone();
                else
                    retryRecord(pending);
            });
    }

    void TableClaimStore::retryRecord(const std::shared_ptr<PendingRecord>& pending)
    {
        if (m_clock.now() >= pending->retryUntil) {
            onRecordDone();
            return;
        }
        const auto retryDelay = withJitter(pending->retryDelay);
        pending->retryDelay = std::min(pending->retryDelay * 2, maxRetryDelay);
        m_runAfter(retryDelay, [this, pending] { readAndWrite(pending); });
    }

    void TableClaimStore::onRecordDone()
    {
        const std::lock_guard lock(m_mutex);
        --m_pendingRecords;
    }

    std::size_t TableClaimStore::pendingRecords() const
    {
        const std::lock_guard lock(m_mutex);
        return m_pendingRecords;
    }

} // namespace

std::unique_ptr<ClaimStore> ClaimStore::create(
    store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, RunAfter runAfter)
{
    return std::make_unique<TableClaimStore>(table, clock, std::move(self), seed, std::move(runAfter));
}

} // namespace foxtailwheel::control
