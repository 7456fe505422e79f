#include "foxtailwheel/limits/FairQueue.h"

#include <algorithm>
#include <limits>

namespace foxtailwheel::limits {

namespace {

    constexpr std::size_t removalsBetweenEvictions = 4096;
    constexpr double maxBurstRuns = 4;

} // namespace

void FairQueue::push(const ClientAccountId& account, double weight, const QueuedRun& run)
{
    auto& state = m_accounts.try_emplace(account, Account { weight, -std::numeric_limits<double>::infinity(), 0, {} })
                      .first->second;
    state.weight = weight;
    if (state.runs.empty()) {
        // An account that has used less than its share may send a short burst ahead of its turn.
        state.startTag = std::max(state.startTag, m_virtualTime - maxBurstRuns * run.cost / weight);
        m_accountsByStartTag.emplace(state.startTag, account);
        m_queuedWeight += weight;
    }
    state.runs.emplace(std::pair(run.priority, run.deadline), run);
    state.queuedCost += run.cost;
    m_queuedCost += run.cost;
    ++m_size;
}

const QueuedRun* FairQueue::front() const
{
    if (m_accountsByStartTag.empty())
        return nullptr;
    return &m_accounts.at(m_accountsByStartTag.begin()->second).runs.begin()->second;
}

std::optional<QueuedRun> FairQueue::pop()
{
    if (m_accountsByStartTag.empty())
        return std::nullopt;
    return remove(true);
}

void FairQueue::dropFront()
{
    if (!m_accountsByStartTag.empty())
        remove(false);
}

QueuedRun FairQueue::remove(bool charge)
{
    const auto [tag, id] = *m_accountsByStartTag.begin();
    m_accountsByStartTag.erase(m_accountsByStartTag.begin());
    auto& state = m_accounts.at(id);
    const auto run = state.runs.begin()->second;
    state.runs.erase(state.runs.begin());
    if (charge) {
        m_virtualTime = std::max(m_virtualTime, tag);
        state.startTag = tag + run.cost / state.weight;
    }
    state.queuedCost -= run.cost;
    m_queuedCost = std::max(0.0, m_queuedCost - run.cost);
    --m_size;
    if (m_accountsByStartTag.empty() && state.runs.empty())
        m_virtualTime = std::max(m_virtualTime, state.startTag);
    if (state.runs.empty())
        m_queuedWeight = std::max(0.0, m_queuedWeight - state.weight);
    else
        m_accountsByStartTag.emplace(state.startTag, id);
    if (++m_removalsSinceEviction >= removalsBetweenEvictions)
        evictIdleAccounts();
    return run;
}

void FairQueue::evictIdleAccounts()
{
    m_removalsSinceEviction = 0;
    std::erase_if(
        m_accounts, [this](const auto& it) { return it.second.runs.empty() && it.second.startTag <= m_virtualTime; });
}

double FairQueue::costAhead(const ClientAccountId& account, double weight) const
{
    const auto it = m_accounts.find(account);
    const bool waiting = it != m_accounts.end() && !it->second.runs.empty();
    const double ownQueued = waiting ? it->second.queuedCost : 0;
    const double ownLead = it == m_accounts.end() ? 0 : std::max(0.0, it->second.startTag - m_virtualTime) * weight;
    const double others = m_queuedCost - ownQueued;
    const double othersWeight = std::max(0.0, m_queuedWeight - (waiting ? it->second.weight : 0));
    const double ownCost = ownQueued + ownLead;
    return ownCost + std::min(others, ownCost / weight * othersWeight + others / std::max<std::size_t>(m_size, 1));
}

} // namespace foxtailwheel::limits
