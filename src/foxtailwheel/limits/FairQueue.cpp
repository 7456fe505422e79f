#include "foxtailwheel/limits/FairQueue.h"

#include <algorithm>
#include <limits>

namespace foxtailwheel::limits {

namespace {

    constexpr std::size_t popsBetweenSweeps = 4096;
    constexpr double burstRuns = 4;

} // namespace

void FairQueue::push(const ClientAccountId& account, double weight, const QueuedRun& run)
{
    auto& state = m_accounts.try_emplace(account, Account { weight, -std::numeric_limits<double>::infinity(), 0, {} })
                      .first->second;
    state.weight = weight;
    if (state.runs.empty()) {
        // An account that used less than its share may send a few runs ahead of its turn.
        state.startTag = std::max(state.startTag, m_virtualTime - burstRuns * run.cost / weight);
        m_order.emplace(state.startTag, account);
        m_waitingWeight += weight;
    }
    state.runs.emplace(std::pair(run.priority, run.deadline), run);
    state.cost += run.cost;
    m_waitingCost += run.cost;
    ++m_size;
}

const QueuedRun* FairQueue::front() const
{
    if (m_order.empty())
        return nullptr;
    return &m_accounts.at(m_order.begin()->second).runs.begin()->second;
}

std::optional<QueuedRun> FairQueue::pop()
{
    if (m_order.empty())
        return std::nullopt;
    return remove(true);
}

void FairQueue::drop()
{
    if (!m_order.empty())
        remove(false);
}

QueuedRun FairQueue::remove(bool charge)
{
    const auto [tag, id] = *m_order.begin();
    m_order.erase(m_order.begin());
    auto& state = m_accounts.at(id);
    const auto run = state.runs.begin()->second;
    state.runs.erase(state.runs.begin());
    if (charge) {
        m_virtualTime = std::max(m_virtualTime, tag);
        state.startTag = tag + run.cost / state.weight;
    }
    state.cost -= run.cost;
    m_waitingCost = std::max(0.0, m_waitingCost - run.cost);
    --m_size;
    if (m_order.empty() && state.runs.empty())
        m_virtualTime = std::max(m_virtualTime, state.startTag);
    if (state.runs.empty())
        m_waitingWeight = std::max(0.0, m_waitingWeight - state.weight);
    else
        m_order.emplace(state.startTag, id);
    if (++m_popsSinceSweep >= popsBetweenSweeps)
        sweep();
    return run;
}

void FairQueue::sweep()
{
    m_popsSinceSweep = 0;
    std::erase_if(
        m_accounts, [this](const auto& it) { return it.second.runs.empty() && it.second.startTag <= m_virtualTime; });
}

double FairQueue::costAhead(const ClientAccountId& account, double weight) const
{
    const auto it = m_accounts.find(account);
    const bool waiting = it != m_accounts.end() && !it->second.runs.empty();
    const double own = waiting ? it->second.cost : 0;
    const double ownLead = it == m_accounts.end() ? 0 : std::max(0.0, it->second.startTag - m_virtualTime) * weight;
    const double others = m_waitingCost - own;
    const double othersWeight = std::max(0.0, m_waitingWeight - (waiting ? it->second.weight : 0));
    const double mine = own + ownLead;
    return mine + std::min(others, mine / weight * othersWeight + others / std::max<std::size_t>(m_size, 1));
}

} // namespace foxtailwheel::limits
