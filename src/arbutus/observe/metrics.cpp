// Registry and its text.

#include "arbutus/observe/metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace arbutus::observe {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned Buckets = 32;
constexpr double LeastSeconds = 0.0005;
constexpr double MostSeconds = 120.0;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
using Histogram = decltype(histogram::make_histogram(Axis()));

std::string braced(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

} // namespace

struct Metrics::Histograms
{
    struct Series
    {
        Histogram counts = histogram::make_histogram(Axis(Buckets, LeastSeconds, MostSeconds));
        double sum = 0; // seconds
    };
    std::map<std::string, std::map<std::string, Series>> series;
};

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
    for (const auto &[name, rows] : m_counters) {
        out << "# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : rows) {
            out << name << braced(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, rows] : m_gauges) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : rows) {
            out << name << braced(labels) << ' ' << value << '\n';
        }
    }
    for (const auto &[name, rows] : m_histograms->series) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto &[labels, series] : rows) {
            const std::string comma = labels.empty() ? "" : ",";
            double cumulative = series.counts.at(-1); // below the first bucket
            for (unsigned i = 0; i < Buckets; ++i) {
                cumulative += series.counts.at(static_cast<int>(i));
                out << name << "_bucket{" << labels << comma << "le=\"" << series.counts.axis().bin(static_cast<int>(i)).upper() << "\"} " << cumulative
                    << '\n';
            }
            cumulative += series.counts.at(static_cast<int>(Buckets));
            out << name << "_bucket{" << labels << comma << "le=\"+Inf\"} " << cumulative << '\n';
            out << name << "_sum" << braced(labels) << ' ' << series.sum << '\n';
            out << name << "_count" << braced(labels) << ' ' << cumulative << '\n';
        }
    }
    return out.str();
}

} // namespace arbutus::observe
