#include "foxtailwheel/serving/Admission.h"

#include "foxtailwheel/limits/FairQueue.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace foxtailwheel::serving {

namespace {

    /// Multiple of the expected critical path that must be left when a waiting run starts: call times spread so far
    /// that with less one in a hundred would start and not finish.
    constexpr double safePath = 1.5;

    class QueuedAdmission final : public Admission {
    public:
        explicit QueuedAdmission(std::size_t maxQueued)
            : m_maxQueued(maxQueued)
        {
        }

        AdmissionVerdict request(const AdmissionRequest& request, TimePoint now) override;
        void leave(const std::vector<limits::SlotHold>& holds) override;
        Admitted pump(TimePoint now) override;
        void forget(RunId run) override;
        void setLimit(const ServiceId& service, double slots) override;
        double utilization(const ServiceId& service) const override;
        std::size_t queued() const override;

    private:
        struct Waiting {
            std::vector<limits::SlotHold> holds;
            TimePoint latestStart;
        };

        void pumpQueue(limits::FairQueue& queue, TimePoint now, Admitted& admitted);

        mutable std::mutex m_mutex;
        std::size_t m_maxQueued;
        limits::CapacityGate m_gate;
        std::map<ServiceId, limits::FairQueue> m_queues;
        std::unordered_map<RunId, Waiting> m_waiting;
    };

    AdmissionVerdict QueuedAdmission::request(const AdmissionRequest& request, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& queue = m_queues[request.bottleneck];
        if (queue.empty() && m_gate.tryEnter(request.holds))
            return { Verdict::Start, {} };
        const double rate = std::max(0.1, m_gate.limit(request.bottleneck));
        const auto wait = fromSeconds(queue.costAhead(request.account, request.weight) / rate);
        const auto needed = fromSeconds(toSeconds(request.criticalPath) * safePath);
        if (m_waiting.size() >= m_maxQueued || now + wait + needed > request.deadline)
            return { Verdict::Refuse, wait };
        queue.push(request.account, request.weight, { request.run, request.cost, request.priority, request.deadline });
        m_waiting.emplace(request.run, Waiting { request.holds, request.deadline - needed });
        return { Verdict::Wait, wait };
    }

    void QueuedAdmission::leave(const std::vector<limits::SlotHold>& holds)
    {
        const std::lock_guard lock(m_mutex);
        m_gate.leave(holds);
    }

    void QueuedAdmission::pumpQueue(limits::FairQueue& queue, TimePoint now, Admitted& admitted)
    {
        while (const auto* front = queue.front()) {
            const auto it = m_waiting.find(front->run);
            const bool gone = it == m_waiting.end();
            const bool late = !gone && it->second.latestStart < now;
            if (!gone && !late && !m_gate.tryEnter(it->second.holds))
                return;
            if (late)
                admitted.refused.push_back(front->run);
            else if (!gone)
                admitted.started.push_back({ front->run, it->second.holds });
            if (!gone)
                m_waiting.erase(it);
            if (gone || late)
                queue.drop();
            else
                queue.pop();
        }
    }

    Admission::Admitted QueuedAdmission::pump(TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        Admitted admitted;
        for (auto& it : m_queues)
            pumpQueue(it.second, now, admitted);
        return admitted;
    }

    void QueuedAdmission::forget(RunId run)
    {
        const std::lock_guard lock(m_mutex);
        m_waiting.erase(run);
    }

    void QueuedAdmission::setLimit(const ServiceId& service, double slots)
    {
        const std::lock_guard lock(m_mutex);
        m_gate.setLimit(service, slots);
    }

    double QueuedAdmission::utilization(const ServiceId& service) const
    {
        const std::lock_guard lock(m_mutex);
        return m_gate.utilization(service);
    }

    std::size_t QueuedAdmission::queued() const
    {
        const std::lock_guard lock(m_mutex);
        return m_waiting.size();
    }

} // namespace

std::unique_ptr<Admission> Admission::create(std::size_t maxQueued)
{
    return std::make_unique<QueuedAdmission>(maxQueued);
}

} // namespace foxtailwheel::serving
