#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace sassafrasyard {

/** Label names and values of a metric. */
using MetricLabels = std::map<std::string, std::string>;

/** The process's metrics in the Prometheus text format. Thread-safe. */
class Metrics
{
public:
    /** Creates an empty registry. */
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /** Adds to a counter. @param name with its unit, such as "sassafrasyard_tokens_total". */
    void count(std::string_view name, const MetricLabels &labels = {}, double amount = 1.0);
    /** Sets a gauge to an absolute value. */
    void set(std::string_view name, const MetricLabels &labels, double value);
    /** Records a duration in a histogram. @param milliseconds the observed duration. */
    void observe(std::string_view name, const MetricLabels &labels, double milliseconds);
    /** Returns all metrics in the Prometheus text exposition format. */
    std::string toText() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> implementation;
};

} // namespace sassafrasyard
