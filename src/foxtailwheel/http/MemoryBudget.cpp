#include "foxtailwheel/http/MemoryBudget.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace foxtailwheel::http {

namespace {

    constexpr std::size_t useCount = static_cast<std::size_t>(MemoryUse::RequestInProgress) + 1;

    /// State of a holding, guarded by the mutex of the budget.
    struct Entry {
        MemoryUse use = MemoryUse::IncompleteRequest;
        std::size_t bytes = 0;
        bool ending = false;
        std::function<void()> end;
    };

    /// Finds what has to end first: by use, then by size.
    struct EndsBefore {
        bool operator()(const Entry* left, const Entry* right) const
        {
            if (left->use != right->use)
                return left->use < right->use;
            if (left->bytes != right->bytes)
                return left->bytes > right->bytes;
            return std::less<>()(left, right);
        }
    };

    class CountingBudget final : public MemoryBudget, public std::enable_shared_from_this<CountingBudget> {
    public:
        explicit CountingBudget(const MemoryBudgetOptions& options)
            : m_options(options)
        {
        }

        std::unique_ptr<MemoryHolding> hold(std::function<void()> end) override;
        bool admits(std::size_t bytes) const override;
        std::size_t heldBytes() const override;
        void set(Entry& entry, MemoryUse use, std::size_t bytes);
        void remove(Entry& entry);

    private:
        using Ends = std::vector<std::function<void()>>;

        void take(Entry& entry);
        void put(Entry& entry);
        void endUntilBelow(Ends& ends);
        void end(Entry& entry, Ends& ends);
        std::size_t& bytesOf(MemoryUse use) { return m_remainingByUse.at(static_cast<std::size_t>(use)); }

        MemoryBudgetOptions m_options;
        mutable std::mutex m_mutex;
        std::set<Entry*, EndsBefore> m_entries; ///< Those with bytes that are not ending.
        std::size_t m_heldBytes = 0; ///< Of all entries.
        std::size_t m_remainingBytes = 0; ///< Of `m_entries`.
        std::array<std::size_t, useCount> m_remainingByUse {};
    };

    class CountedHolding final : public MemoryHolding {
    public:
        CountedHolding(std::shared_ptr<CountingBudget> budget, std::function<void()> end)
            : m_budget(std::move(budget))
        {
            m_entry.end = std::move(end);
        }
        ~CountedHolding() override { m_budget->remove(m_entry); }
        CountedHolding(const CountedHolding&) = delete;
        CountedHolding& operator=(const CountedHolding&) = delete;

        void set(MemoryUse use, std::size_t bytes) override { m_budget->set(m_entry, use, bytes); }

    private:
        std::shared_ptr<CountingBudget> m_budget;
        Entry m_entry;
    };

    std::unique_ptr<MemoryHolding> CountingBudget::hold(std::function<void()> end)
    {
        return std::make_unique<CountedHolding>(shared_from_this(), std::move(end));
    }

    bool CountingBudget::admits(std::size_t bytes) const
    {
        const std::lock_guard lock(m_mutex);
        const auto bound = static_cast<double>(m_options.maxBytes) * m_options.admitFraction;
        return m_heldBytes == 0 || static_cast<double>(m_heldBytes) + static_cast<double>(bytes) <= bound;
    }

    std::size_t CountingBudget::heldBytes() const
    {
        const std::lock_guard lock(m_mutex);
        return m_heldBytes;
    }

    /// Removes an entry from the sums, before it changes.
    void CountingBudget::take(Entry& entry)
    {
        m_heldBytes -= entry.bytes;
        if (m_entries.erase(&entry) == 0)
            return;
        m_remainingBytes -= entry.bytes;
        bytesOf(entry.use) -= entry.bytes;
    }

    void CountingBudget::put(Entry& entry)
    {
        m_heldBytes += entry.bytes;
        if (entry.ending || entry.bytes == 0)
            return;
        m_entries.insert(&entry);
        m_remainingBytes += entry.bytes;
        bytesOf(entry.use) += entry.bytes;
    }

    void CountingBudget::set(Entry& entry, MemoryUse use, std::size_t bytes)
    {
        Ends ends;
        {
            const std::lock_guard lock(m_mutex);
            const bool grows = bytes > entry.bytes;
            take(entry);
            entry.use = use;
            entry.bytes = bytes;
            put(entry);
            if (grows)
                endUntilBelow(ends);
        }
        for (const auto& it : ends)
            it();
    }

    void CountingBudget::remove(Entry& entry)
    {
        const std::lock_guard lock(m_mutex);
        take(entry);
    }

    void CountingBudget::end(Entry& entry, Ends& ends)
    {
        take(entry);
        entry.ending = true;
        put(entry);
        ends.push_back(std::exchange(entry.end, nullptr));
    }

    void CountingBudget::endUntilBelow(Ends& ends)
    {
        while (bytesOf(MemoryUse::ServerResponse) > m_options.maxServerResponseBytes) {
            Entry largest { MemoryUse::ServerResponse, std::numeric_limits<std::size_t>::max(), false, {} };
            end(**m_entries.lower_bound(&largest), ends);
        }
        // A single request without other load is served.
        while (m_remainingBytes > m_options.maxBytes && m_entries.size() > 1) {
            auto& first = **m_entries.begin();
            if (first.use == MemoryUse::RequestInProgress)
                return;
            end(first, ends);
        }
    }

} // namespace

std::shared_ptr<MemoryBudget> MemoryBudget::create(const MemoryBudgetOptions& options)
{
    return std::make_shared<CountingBudget>(options);
}

} // namespace foxtailwheel::http
