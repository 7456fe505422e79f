#include "foxtailwheel/control/ClaimKeeper.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <utility>

namespace foxtailwheel::control {

namespace {

    using namespace std::chrono_literals;

    constexpr Duration tableTimeout = 1s;
    constexpr Duration firstPause = 20ms;
    constexpr Duration longestPause = 2s;
    /// Longest time after a run's deadline that its call may still end and be recorded.
    constexpr std::chrono::milliseconds heldAfterDeadline = 45s;

    class TableClaimKeeper final : public ClaimKeeper {
    public:
        TableClaimKeeper(store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, Defer defer)
            : m_table(table)
            , m_clock(clock)
            , m_self(std::move(self))
            , m_random(seed)
            , m_defer(std::move(defer))
        {
        }

        void claim(const serving::ClaimCall& call, std::function<void(pipeline::ClaimResult)> done) override;
        void end(const serving::EndClaim& ended) override;
        std::size_t pendingRecords() const override;

    private:
        /// A claim on its way through the table.
        struct Claiming {
            ClaimMachine machine;
            TimePoint deadline;
            Duration pause = firstPause;
            std::function<void(pipeline::ClaimResult)> done;
        };
        /// A record on its way into the table.
        struct Recording {
            std::string key;
            ClaimRow held;
            pipeline::ClaimEnd end = pipeline::ClaimEnd::Unknown;
            pipeline::Payload answer;
            TimePoint giveUpAt;
            Duration pause = firstPause;
        };
        using ClaimId = std::pair<RunId, StageIndex>;

        void advance(const std::shared_ptr<Claiming>& claiming, ClaimId id);
        void answered(const std::shared_ptr<Claiming>& claiming, ClaimId id, bool progressed);
        void record(const std::shared_ptr<Recording>& recording);
        void write(const std::shared_ptr<Recording>& recording, const store::Row& row);
        void retryRecord(const std::shared_ptr<Recording>& recording);
        void recorded();
        Duration jittered(Duration pause);

        store::Table& m_table;
        const Clock& m_clock;
        InstanceId m_self;
        mutable std::mutex m_mutex;
        Random m_random;
        Defer m_defer;
        std::map<ClaimId, ClaimRow> m_held;
        std::size_t m_pendingRecords = 0;
    };

    Duration TableClaimKeeper::jittered(Duration pause)
    {
        const std::lock_guard lock(m_mutex);
        return fromSeconds(toSeconds(pause) * (0.5 + m_random.uniform()));
    }

    void TableClaimKeeper::claim(const serving::ClaimCall& call, std::function<void(pipeline::ClaimResult)> done)
    {
        const auto now = m_clock.wallNow();
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline - m_clock.now());
        ClaimRow row { {}, call.bodyHash, m_self, ClaimProgress::Claimed, {}, now + left + heldAfterDeadline,
            now + claimLife };
        {
            const std::lock_guard lock(m_mutex);
            row.token = AttemptToken(m_random.token());
        }
        auto claiming = std::make_shared<Claiming>(Claiming {
            ClaimMachine(claimRowKey(call.key), std::move(row)), call.deadline, firstPause, std::move(done) });
        advance(claiming, { call.run, call.stage });
    }

    void TableClaimKeeper::advance(const std::shared_ptr<Claiming>& claiming, ClaimId id)
    {
        const auto until = std::min(claiming->deadline, m_clock.now() + tableTimeout);
        if (claiming->machine.step() == ClaimStep::Insert) {
            m_table.transact(
                claiming->machine.insertion(), until, [this, claiming, id](const store::TransactResult& result) {
                    claiming->machine.onInsert(result, m_clock.wallNow());
                    answered(claiming, id, result.end != store::TransactEnd::NotApplied);
                });
            return;
        }
        m_table.read(claiming->machine.key(), until, [this, claiming, id](const store::ReadResult& result) {
            claiming->machine.onRead(result, m_clock.wallNow());
            answered(claiming, id, result.answered);
        });
    }

    void TableClaimKeeper::answered(const std::shared_ptr<Claiming>& claiming, ClaimId id, bool progressed)
    {
        if (m_clock.now() >= claiming->deadline)
            claiming->machine.expire();
        if (claiming->machine.step() != ClaimStep::Done) {
            const auto pause = progressed
                ? Duration {}
                : std::min(jittered(claiming->pause), std::max<Duration>(claiming->deadline - m_clock.now(), 1ms));
            claiming->pause = std::min(claiming->pause * 2, longestPause);
            m_defer(pause, [this, claiming, id] {
                if (m_clock.now() < claiming->deadline)
                    advance(claiming, id);
                else
                    answered(claiming, id, false);
            });
            return;
        }
        const auto& machine = claiming->machine;
        const bool granted = machine.result().state == pipeline::ClaimState::Granted;
        if (granted) {
            const std::lock_guard lock(m_mutex);
            m_held.emplace(id, machine.wanted());
        } else if (machine.mayHold()) {
            const auto recording = std::make_shared<Recording>(Recording { machine.key(), machine.wanted(),
                pipeline::ClaimEnd::NotStarted, nullptr, m_clock.now() + recordPatience });
            const std::lock_guard lock(m_mutex);
            ++m_pendingRecords;
            m_defer(firstPause, [this, recording] { record(recording); });
        }
        claiming->done(machine.result());
    }

    void TableClaimKeeper::end(const serving::EndClaim& ended)
    {
        auto recording = std::make_shared<Recording>();
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_held.find({ ended.run, ended.stage });
            if (it == m_held.end())
                return;
            recording->held = std::move(it->second);
            m_held.erase(it);
            ++m_pendingRecords;
        }
        recording->key = claimRowKey(ended.key);
        recording->end = ended.end;
        recording->answer = ended.answer;
        recording->giveUpAt = m_clock.now() + recordPatience;
        // A row that was just inserted has version 1; the condition fails and the row is read where it has not.
        write(recording, { recording->key, {}, 1 });
    }

    void TableClaimKeeper::record(const std::shared_ptr<Recording>& recording)
    {
        m_table.read(recording->key, m_clock.now() + tableTimeout, [this, recording](const store::ReadResult& result) {
            if (!result.answered) {
                retryRecord(recording);
                return;
            }
            const auto held = result.rows.empty() ? std::nullopt : decodeClaimRow(result.rows.front().value);
            const bool own = held && held->token == recording->held.token && held->progress == ClaimProgress::Claimed;
            if (own)
                write(recording, result.rows.front());
            else
                recorded();
        });
    }

    void TableClaimKeeper::write(const std::shared_ptr<Recording>& recording, const store::Row& row)
    {
        auto transaction = claimRecord(recording->key, recording->held, row.version, recording->end, recording->answer);
        m_table.transact(std::move(transaction), m_clock.now() + tableTimeout,
            [this, recording](const store::TransactResult& result) {
                if (result.end == store::TransactEnd::Applied)
                    recorded();
                else
                    retryRecord(recording);
            });
    }

    void TableClaimKeeper::retryRecord(const std::shared_ptr<Recording>& recording)
    {
        if (m_clock.now() >= recording->giveUpAt) {
            recorded();
            return;
        }
        const auto pause = jittered(recording->pause);
        recording->pause = std::min(recording->pause * 2, longestPause);
        m_defer(pause, [this, recording] { record(recording); });
    }

    void TableClaimKeeper::recorded()
    {
        const std::lock_guard lock(m_mutex);
        --m_pendingRecords;
    }

    std::size_t TableClaimKeeper::pendingRecords() const
    {
        const std::lock_guard lock(m_mutex);
        return m_pendingRecords;
    }

} // namespace

std::unique_ptr<ClaimKeeper> ClaimKeeper::create(
    store::Table& table, const Clock& clock, InstanceId self, std::uint64_t seed, Defer defer)
{
    return std::make_unique<TableClaimKeeper>(table, clock, std::move(self), seed, std::move(defer));
}

} // namespace foxtailwheel::control
