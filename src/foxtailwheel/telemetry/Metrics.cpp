#include "foxtailwheel/telemetry/Metrics.h"

#include "foxtailwheel/base/Hash.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <map>
#include <mutex>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace foxtailwheel::telemetry {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };
    constexpr std::size_t shardCount = 8;

    using DurationSummary
        = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    DurationSummary makeDurationSummary()
    {
        return DurationSummary(acc::tag::extended_p_square::probabilities = quantiles);
    }

    /// Name and labels that identify a time series.
    struct SeriesKey {
        std::string name;
        std::vector<std::pair<std::string, std::string>> labels;

        friend auto operator<=>(const SeriesKey&, const SeriesKey&) = default;
    };

    SeriesKey makeSeriesKey(const std::string& name, const Labels& labels)
    {
        SeriesKey key { name, {} };
        for (const auto& it : labels)
            key.labels.emplace_back(it.name, it.value);
        return key;
    }

    struct Shard {
        mutable std::mutex mutex;
        std::map<SeriesKey, double> counters;
        std::map<SeriesKey, double> gauges;
        std::map<SeriesKey, DurationSummary> durations;
    };

    using Families = std::map<std::string, prometheus::MetricFamily>;

    prometheus::ClientMetric& addMetric(Families& families, const SeriesKey& series, prometheus::MetricType type)
    {
        auto& family = families[series.name];
        family.name = series.name;
        family.type = type;
        auto& metric = family.metric.emplace_back();
        for (const auto& it : series.labels)
            metric.label.push_back({ it.first, it.second });
        return metric;
    }

    class ShardedMetrics final : public Metrics {
    public:
        void increment(const std::string& name, const Labels& labels, double n) override
        {
            auto& shard = shardFor(name);
            const std::lock_guard lock(shard.mutex);
            shard.counters[makeSeriesKey(name, labels)] += n;
        }

        void setGauge(const std::string& name, const Labels& labels, double value) override
        {
            auto& shard = shardFor(name);
            const std::lock_guard lock(shard.mutex);
            shard.gauges[makeSeriesKey(name, labels)] = value;
        }

        void observeDuration(const std::string& name, const Labels& labels, Duration d) override
        {
            auto& shard = shardFor(name);
            const std::lock_guard lock(shard.mutex);
            shard.durations.try_emplace(makeSeriesKey(name, labels), makeDurationSummary()).first->second(toSeconds(d));
        }

        std::string serialize() const override;

    private:
        Shard& shardFor(const std::string& name) { return m_shards.at(hashOf(name) % shardCount); }
        static void collect(const Shard& shard, Families& families);

        std::array<Shard, shardCount> m_shards;
    };

    void ShardedMetrics::collect(const Shard& shard, Families& families)
    {
        const std::lock_guard lock(shard.mutex);
        for (const auto& it : shard.counters)
            addMetric(families, it.first, prometheus::MetricType::Counter).counter.value = it.second;
        for (const auto& it : shard.gauges)
            addMetric(families, it.first, prometheus::MetricType::Gauge).gauge.value = it.second;
        for (const auto& it : shard.durations) {
            auto& summary = addMetric(families, it.first, prometheus::MetricType::Summary).summary;
            summary.sample_count = acc::count(it.second);
            summary.sample_sum = acc::sum(it.second);
            const auto values = acc::extended_p_square(it.second);
            for (std::size_t i = 0; i < quantiles.size(); ++i)
                summary.quantile.push_back({ quantiles.at(i), values[static_cast<std::ptrdiff_t>(i)] });
        }
    }

    std::string ShardedMetrics::serialize() const
    {
        Families families;
        for (const auto& it : m_shards)
            collect(it, families);
        std::vector<prometheus::MetricFamily> ordered;
        for (auto& it : families)
            ordered.push_back(std::move(it.second));
        return prometheus::TextSerializer().Serialize(ordered);
    }

} // namespace

std::unique_ptr<Metrics> Metrics::create()
{
    return std::make_unique<ShardedMetrics>();
}

} // namespace foxtailwheel::telemetry
