// Metrics registry and its Prometheus text format.

#include "arbutus/observe/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace arbutus::observe {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned BucketCount = 32;
constexpr double MinSeconds = 0.0005;
constexpr double MaxSeconds = 120.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(Axis()));

std::string formatLabels(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

struct Metrics::Histograms
{
    struct Series
    {
        Histogram counts = histogram::make_histogram(Axis(BucketCount, MinSeconds, MaxSeconds));
        double sum = 0; // seconds
    };
    std::map<std::string, std::map<std::string, Series>> series;
};

std::string escapeLabel(const std::string &value)
{
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? std::string("\\n") : std::string(1, c);
    }
    return out;
}

Metrics::Metrics()
    : m_histograms(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::incrementCounter(const std::string &name, const std::string &labels, double amount)
{
    const std::lock_guard lock(m_mutex);
    m_counters[name][labels] += amount;
}

void Metrics::setGauge(const std::string &name, const std::string &labels, double value)
{
    const std::lock_guard lock(m_mutex);
    m_gauges[name][labels] = value;
}

void Metrics::observeDuration(const std::string &name, const std::string &labels, std::chrono::microseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::lock_guard lock(m_mutex);
    Histograms::Series &series = m_histograms->series[name][labels];
    series.counts(seconds);
    series.sum += seconds;
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    const std::lock_guard lock(m_mutex);
    for (const auto &[name, valuesByLabels] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : valuesByLabels) {
            out << name << formatLabels(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, valuesByLabels] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : valuesByLabels) {
            out << name << formatLabels(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, seriesByLabels] : m_histograms->series) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, series] : seriesByLabels) {
            const std::string separator = labels.empty() ? "" : ",";
            double cumulative = series.counts.at(-1); // underflow bin
            for (unsigned i = 0; i < BucketCount; ++i) {
                cumulative += series.counts.at(static_cast<int>(i));
                out << name << "_bucket{" << labels << separator << "le=\"" << series.counts.axis().bin(static_cast<int>(i)).upper() << "\"} " << cumulative
                    << '\n';
            }
            cumulative += series.counts.at(static_cast<int>(BucketCount));
            out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << cumulative << '\n';
            out << name << "_sum" << formatLabels(labels) << ' ' << series.sum << '\n';
            out << name << "_count" << formatLabels(labels) << ' ' << cumulative << '\n';
        }
    }
    return out.str();
}

} // namespace arbutus::observe
