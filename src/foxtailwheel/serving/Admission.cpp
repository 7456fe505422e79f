#include "foxtailwheel/serving/Admission.h"

#include "foxtailwheel/limits/FairQueue.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace foxtailwheel::serving {

namespace {

    /// Multiple of the expected critical path that must remain when a queued run starts. With less, the spread of the
    /// call times lets one in a hundred runs start without finishing in time.
    constexpr double criticalPathMargin = 1.5;

    class QueuedAdmission final : public Admission {
    public:
        explicit QueuedAdmission(std::size_t maxQueued)
            : m_maxQueued(maxQueued)
        {
        }

        AdmissionResult request(const AdmissionRequest& request, TimePoint now) override;
        void release(const std::vector<limits::SlotReservation>& reservations) override;
        DequeuedRuns dequeueReady(TimePoint now) override;
        void removeQueued(RunId run) override;
        void setSlotLimit(const ServiceId& service, double slots) override;
        double utilization(const ServiceId& service) const override;
        std::size_t queuedCount() const override;

    private:
        struct QueuedRun {
            std::vector<limits::SlotReservation> reservations;
            TimePoint latestStart;
        };

        void dequeueFrom(limits::FairQueue& queue, TimePoint now, DequeuedRuns& out);

        mutable std::mutex m_mutex;
        std::size_t m_maxQueued;
        limits::ConcurrencyLimiter m_limiter;
        std::map<ServiceId, limits::FairQueue> m_queues;
        std::unordered_map<RunId, QueuedRun> m_queuedRuns;
    };

    AdmissionResult QueuedAdmission::request(const AdmissionRequest& request, TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        auto& queue = m_queues[request.bottleneck];
        if (queue.empty() && m_limiter.tryAcquire(request.reservations))
            return { AdmissionDecision::Admit, {} };
        const double rate = std::max(0.1, m_limiter.limit(request.bottleneck));
        const auto expectedWait = fromSeconds(queue.costAhead(request.account, request.weight) / rate);
        const auto requiredTime = fromSeconds(toSeconds(request.criticalPath) * criticalPathMargin);
        if (m_queuedRuns.size() >= m_maxQueued || now + expectedWait + requiredTime > request.deadline)
            return { AdmissionDecision::Reject, expectedWait };
        queue.push(request.account, request.weight, { request.run, request.cost, request.priority, request.deadline });
        m_queuedRuns.emplace(request.run, QueuedRun { request.reservations, request.deadline - requiredTime });
        return { AdmissionDecision::Queue, expectedWait };
    }

    void QueuedAdmission::release(const std::vector<limits::SlotReservation>& reservations)
    {
        const std::lock_guard lock(m_mutex);
        m_limiter.release(reservations);
    }

    void QueuedAdmission::dequeueFrom(limits::FairQueue& queue, TimePoint now, DequeuedRuns& out)
    {
        while (const auto* front = queue.front()) {
            const auto it = m_queuedRuns.find(front->run);
            const bool removed = it == m_queuedRuns.end();
            const bool expired = !removed && it->second.latestStart < now;
            if (!removed && !expired && !m_limiter.tryAcquire(it->second.reservations))
                return;
            if (expired)
                out.rejected.push_back(front->run);
            else if (!removed)
                out.admitted.push_back({ front->run, it->second.reservations });
            if (!removed)
                m_queuedRuns.erase(it);
            if (removed || expired)
                queue.dropFront();
            else
                queue.pop();
        }
    }

    Admission::DequeuedRuns QueuedAdmission::dequeueReady(TimePoint now)
    {
        const std::lock_guard lock(m_mutex);
        DequeuedRuns dequeued;
        for (auto& it : m_queues)
            dequeueFrom(it.second, now, dequeued);
        return dequeued;
    }

    void QueuedAdmission::removeQueued(RunId run)
    {
        const std::lock_guard lock(m_mutex);
        m_queuedRuns.erase(run);
    }

    void QueuedAdmission::setSlotLimit(const ServiceId& service, double slots)
    {
        const std::lock_guard lock(m_mutex);
        m_limiter.setLimit(service, slots);
    }

    double QueuedAdmission::utilization(const ServiceId& service) const
    {
        const std::lock_guard lock(m_mutex);
        return m_limiter.utilization(service);
    }

    std::size_t QueuedAdmission::queuedCount() const
    {
        const std::lock_guard lock(m_mutex);
        return m_queuedRuns.size();
    }

} // namespace

std::unique_ptr<Admission> Admission::create(std::size_t maxQueued)
{
    return std::make_unique<QueuedAdmission>(maxQueued);
}

} // namespace foxtailwheel::serving
