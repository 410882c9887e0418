#include "observability/metrics/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <mutex>

namespace sassafrasyard {

namespace {

const prometheus::Histogram::BucketBoundaries durationBuckets = {
        0.25, 0.5, 1, 2, 5, 10, 20, 31, 50, 100, 250, 500, 1100, 2500, 5000, 10000, 30000};

} // namespace

struct Metrics::Implementation
{
    template <typename Family, typename Builder>
    Family &family(std::map<std::string, Family *, std::less<>> &families, std::string_view name,
                   Builder builder)
    {
        const std::lock_guard lock(this->mutex);
        auto known = families.find(name);
        if (known == families.end())
            known = families.emplace(name,
                                     &builder.Name(std::string(name)).Register(this->registry))
                            .first;
        return *known->second;
    }

    std::mutex mutex;
    prometheus::Registry registry;
    std::map<std::string, prometheus::Family<prometheus::Counter> *, std::less<>> counters;
    std::map<std::string, prometheus::Family<prometheus::Gauge> *, std::less<>> gauges;
    std::map<std::string, prometheus::Family<prometheus::Histogram> *, std::less<>> histograms;
};

Metrics::Metrics()
    : implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, const MetricLabels &labels, double amount)
{
    this->implementation->family(this->implementation->counters, name, prometheus::BuildCounter())
            .Add(labels)
            .Increment(amount);
}

void Metrics::set(std::string_view name, const MetricLabels &labels, double value)
{
    this->implementation->family(this->implementation->gauges, name, prometheus::BuildGauge())
            .Add(labels)
            .Set(value);
}

void Metrics::observe(std::string_view name, const MetricLabels &labels, double milliseconds)
{
    this->implementation
            ->family(this->implementation->histograms, name, prometheus::BuildHistogram())
            .Add(labels, durationBuckets)
            .Observe(milliseconds);
}

std::string Metrics::toText() const
{
    return prometheus::TextSerializer().Serialize(this->implementation->registry.Collect());
}

} // namespace sassafrasyard
