// Counters, gauges and latency histograms in Prometheus text format.
//
// Histograms use Boost.Histogram with a logarithmic axis. There is one Metrics object for each process; it is
// thread-safe.

#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace arbutus::observe {

/// `value` as it may stand between the quotes of a label: with backslashes, quotes and line ends escaped.
[[nodiscard]] std::string escapeLabel(const std::string &value);

/// Metrics registry of a process.
class Metrics
{
public:
    Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;
    ~Metrics();

    /// Adds to a counter; `labels` has the form `class="desk",outcome="answered"` and may be empty.
    void incrementCounter(const std::string &name, const std::string &labels = "", double amount = 1);
    void setGauge(const std::string &name, const std::string &labels, double value);
    void observeDuration(const std::string &name, const std::string &labels, std::chrono::microseconds duration);
    [[nodiscard]] std::string prometheusText() const;

private:
    struct Histograms;
    mutable std::mutex m_mutex;
    std::map<std::string, std::map<std::string, double>> m_counters;
    std::map<std::string, std::map<std::string, double>> m_gauges;
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace arbutus::observe
