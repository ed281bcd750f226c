// Fit of the figures' logarithms, and how a service's and an engine's evidence are combined.

#include "arbutus/routing/engineprofile.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace arbutus::routing {

namespace {

constexpr double MaxLog = 20; // of a figure; keeps the exponential finite

FigureVector toLogs(const EngineFigures &figures)
{
    return {-std::log(figures.prefillTokensPerMs),
            std::log(figures.step.count()),
            std::log(figures.stepPerRequest.count()),
            std::log(figures.pause.count()),
            std::log(figures.firstEventDelay.count())};
}

EngineFigures fromLogs(const FigureVector &logs)
{
    const auto value = [&](std::size_t i) { return std::exp(std::clamp(logs[i], -MaxLog, MaxLog)); };
    return EngineFigures{1 / value(0), FractionalMs(value(1)), FractionalMs(value(2)), FractionalMs(value(3)), FractionalMs(value(4))};
}

/// Parts of the predicted time, in the order of the figures.
FigureVector parts(const EngineFigures &figures, const EngineWork &work)
{
    return {work.prefillTokens / figures.prefillTokensPerMs,
            work.steps * figures.step.count(),
            work.steps * work.otherRequests * figures.stepPerRequest.count(),
            work.steps * work.prefillUtilization * figures.pause.count(),
            work.firstEvents * figures.firstEventDelay.count()};
}

double dot(const FigureVector &left, const FigureVector &right)
{
    double sum = 0;
    for (std::size_t i = 0; i < FigureCount; ++i) {
        sum += left[i] * right[i];
    }
    return sum;
}

FigureVector multiply(const FigureMatrix &matrix, const FigureVector &vector)
{
    FigureVector result{};
    for (std::size_t i = 0; i < FigureCount; ++i) {
        result[i] = dot(matrix[i], vector);
    }
    return result;
}

/// Inverse of a symmetric positive definite matrix, by Gauss-Jordan elimination.
FigureMatrix inverse(FigureMatrix matrix)
{
    FigureMatrix result{};
    for (std::size_t i = 0; i < FigureCount; ++i) {
        result[i][i] = 1;
    }
    for (std::size_t pivot = 0; pivot < FigureCount; ++pivot) {
        const double factor = 1 / matrix[pivot][pivot];
        for (std::size_t column = 0; column < FigureCount; ++column) {
            matrix[pivot][column] *= factor;
            result[pivot][column] *= factor;
        }
        for (std::size_t row = 0; row < FigureCount; ++row) {
            const double multiple = matrix[row][pivot];
            if (row == pivot || multiple == 0) {
                continue;
            }
            for (std::size_t column = 0; column < FigureCount; ++column) {
                matrix[row][column] -= multiple * matrix[pivot][column];
                result[row][column] -= multiple * result[pivot][column];
            }
        }
    }
    return result;
}

/// Covariance of figures that differ by a common factor and, beside that, each on its own. The delay of first events does not go with the
/// speed of an engine.
FigureMatrix spread(double common, double each)
{
    const auto commonShare = [](std::size_t figure) { return figure == FigureCount - 1 ? 0.0 : 1.0; };
    FigureMatrix result{};
    for (std::size_t row = 0; row < FigureCount; ++row) {
        for (std::size_t column = 0; column < FigureCount; ++column) {
            result[row][column] = common * common * commonShare(row) * commonShare(column) + (row == column ? each * each : 0);
        }
    }
    return result;
}

FigureMatrix sum(FigureMatrix left, const FigureMatrix &right)
{
    for (std::size_t row = 0; row < FigureCount; ++row) {
        for (std::size_t column = 0; column < FigureCount; ++column) {
            left[row][column] += right[row][column];
        }
    }
    return left;
}

FigureEvidence toEvidence(const FigureEstimate &estimate)
{
    FigureEvidence evidence;
    evidence.precision = inverse(estimate.covariance);
    evidence.weighted = multiply(evidence.precision, estimate.mean);
    return evidence;
}

FigureEvidence toEvidence(const ReportedFigures &reported, double addedDoubt)
{
    FigureEvidence evidence;
    const FigureVector logs = toLogs(reported.figures);
    for (std::size_t i = 0; i < FigureCount; ++i) {
        evidence.precision[i][i] = 1 / (reported.doubts[i] * reported.doubts[i] + addedDoubt * addedDoubt);
        evidence.weighted[i] = evidence.precision[i][i] * logs[i];
    }
    return evidence;
}

FigureEvidence sum(FigureEvidence left, const FigureEvidence &right)
{
    left.precision = sum(left.precision, right.precision);
    for (std::size_t i = 0; i < FigureCount; ++i) {
        left.weighted[i] += right.weighted[i];
    }
    return left;
}

FigureEstimate solve(const FigureEvidence &evidence)
{
    FigureEstimate estimate;
    estimate.covariance = inverse(evidence.precision);
    estimate.mean = multiply(estimate.covariance, evidence.weighted);
    return estimate;
}

FigureVector doubtsOf(const FigureEstimate &estimate)
{
    FigureVector doubts{};
    for (std::size_t i = 0; i < FigureCount; ++i) {
        doubts[i] = std::sqrt(std::max(estimate.covariance[i][i], 0.0));
    }
    return doubts;
}

/// Weight of an observation that is `deviation` off, where `variance` is expected.
double outlierWeight(double deviation, double variance, double limit)
{
    const double ratio = std::abs(deviation) / (limit * std::sqrt(variance));
    return ratio <= 1 ? 1 : 1 / ratio;
}

bool isPlausible(const ReportedFigures &reported)
{
    const EngineFigures &figures = reported.figures;
    const FigureVector values{
        figures.prefillTokensPerMs, figures.step.count(), figures.stepPerRequest.count(), figures.pause.count(), figures.firstEventDelay.count()};
    return std::all_of(values.begin(), values.end(), [](double value) { return std::isfinite(value) && value > 0 && std::abs(std::log(value)) < MaxLog; })
        && std::all_of(reported.doubts.begin(), reported.doubts.end(), [](double doubt) { return std::isfinite(doubt) && doubt >= 0; });
}

} // namespace

FractionalMs predictTime(const EngineFigures &figures, const EngineWork &work)
{
    const FigureVector times = parts(figures, work);
    return FractionalMs(std::accumulate(times.begin(), times.end(), 0.0));
}

//-----------------------------------------------------------------------------
// Evidence
//-----------------------------------------------------------------------------

void FigureEvidence::fade(double retention)
{
    for (FigureVector &row : precision) {
        for (double &value : row) {
            value *= retention;
        }
    }
    for (double &value : weighted) {
        value *= retention;
    }
    count *= retention;
}

void FigureEvidence::add(const FigureVector &shares, double value, double weight)
{
    for (std::size_t row = 0; row < FigureCount; ++row) {
        for (std::size_t column = 0; column < FigureCount; ++column) {
            precision[row][column] += weight * shares[row] * shares[column];
        }
        weighted[row] += weight * shares[row] * value;
    }
    ++count;
}

//-----------------------------------------------------------------------------
// Service profile
//-----------------------------------------------------------------------------

ServiceProfile::ServiceProfile(const EngineProfileSettings &settings)
    : m_settings(settings)
    , m_initial(toEvidence(FigureEstimate{toLogs(settings.initial), spread(settings.initialCommonDoubt, settings.initialFigureDoubt)}))
{
    update();
    m_figures = settings.initial; // without rounding
}

void ServiceProfile::update()
{
    FigureEvidence total = sum(m_initial, m_evidence);
    for (const auto &[region, reported] : m_reported) {
        total = sum(total, toEvidence(reported, m_settings.reportedServiceDoubt));
    }
    m_estimate = solve(total);
    m_figures = fromLogs(m_estimate.mean);
    constexpr double NoticeableChange = 0.01;
    const auto hasMoved = [&](std::size_t i) { return std::abs(m_estimate.mean[i] - m_meanAtRevision[i]) > NoticeableChange; };
    if (hasMoved(0) || hasMoved(1) || hasMoved(2) || hasMoved(3)) {
        m_meanAtRevision = m_estimate.mean;
        ++m_revision;
    }
}

void ServiceProfile::record(const FigureVector &shares, double value, double variance)
{
    const FigureMatrix engines = spread(m_settings.speedSpread, m_settings.figureSpread);
    const double observed = variance + dot(shares, multiply(engines, shares)); // of one engine, whose speed may differ
    const double expected = observed + dot(shares, multiply(m_estimate.covariance, shares));
    const double deviation = value - dot(shares, m_estimate.mean);
    m_evidence.fade(m_settings.serviceRetention);
    m_evidence.add(shares, value, outlierWeight(deviation, expected, m_settings.outlierLimit) / observed);
    update();
}

void ServiceProfile::adopt(const core::RegionId &region, const ReportedFigures &reported)
{
    if (!isPlausible(reported)) {
        return;
    }
    m_reported[region] = reported;
    update();
}

std::optional<ReportedFigures> ServiceProfile::report() const
{
    if (m_evidence.count < m_settings.minReportedEvidence) {
        return std::nullopt;
    }
    return ReportedFigures{m_figures, doubtsOf(m_estimate), m_evidence.count};
}

//-----------------------------------------------------------------------------
// Engine profile
//-----------------------------------------------------------------------------

EngineProfile::EngineProfile(std::shared_ptr<ServiceProfile> service)
    : m_service(std::move(service))
{
}

void EngineProfile::update() const
{
    const EngineProfileSettings &settings = m_service->settings();
    m_serviceRevision = m_service->revision();
    if (!m_reported && m_evidence.count == 0) {
        m_estimate = m_service->estimate();
        m_estimate.covariance = sum(m_estimate.covariance, spread(settings.speedSpread, settings.figureSpread));
        m_figures = m_service->figures();
        return;
    }
    FigureEstimate prior = m_service->estimate();
    prior.covariance = sum(prior.covariance, spread(settings.speedSpread, settings.figureSpread));
    FigureEvidence total = sum(toEvidence(prior), m_evidence);
    if (m_reported) {
        total = sum(total, toEvidence(*m_reported, settings.reportedEngineDoubt));
    }
    m_estimate = solve(total);
    m_figures = fromLogs(m_estimate.mean);
}

const EngineFigures &EngineProfile::figures() const
{
    if (m_serviceRevision != m_service->revision()) {
        update();
    }
    return m_figures;
}

double EngineProfile::doubt() const
{
    (void)figures();
    return doubtsOf(m_estimate)[0];
}

bool EngineProfile::record(const EngineObservation &observation, core::TimePoint now)
{
    const EngineProfileSettings &settings = m_service->settings();
    const EngineFigures &current = figures();
    const double predicted = predictTime(current, observation.work).count();
    const double measured = observation.time.count();
    if (!std::isfinite(predicted) || !(predicted > 0) || !(measured > 0) || !(measured <= settings.maxTime.count())) {
        return false;
    }
    FigureVector shares = parts(current, observation.work);
    for (double &share : shares) {
        share /= predicted;
    }
    const double deviation = std::log(measured / predicted);
    const double absoluteNoise = (settings.absoluteNoise + observation.doubt).count() / std::min(predicted, measured);
    const double noise = settings.relativeNoise * settings.relativeNoise + absoluteNoise * absoluteNoise;
    const double expected = noise + dot(shares, multiply(m_estimate.covariance, shares));
    const double curvature = deviation * deviation / 2; // error of the linear approximation
    const double variance = noise + curvature * curvature;
    const double weight = outlierWeight(deviation, expected, settings.outlierLimit);
    const double value = dot(shares, m_estimate.mean) + deviation;
    watchForChange(deviation, weight < 1, now);
    m_evidence.fade(settings.engineRetention);
    m_evidence.add(shares, value, weight / variance);
    m_service->record(shares, value, variance);
    update();
    return true;
}

void EngineProfile::watchForChange(double deviation, bool isOutlier, core::TimePoint now)
{
    const EngineProfileSettings &settings = m_service->settings();
    if (!isOutlier) {
        m_outliers = 0;
        return;
    }
    const int direction = deviation > 0 ? 1 : -1;
    if (m_outliers * direction <= 0) {
        m_outliers = 0;
        m_outliersSince = now;
    }
    m_outliers += direction;
    if (std::abs(m_outliers) >= settings.changeObservations && now - m_outliersSince >= settings.changePeriod) {
        m_evidence.fade(settings.changeRetention);
        m_reported.reset();
        m_outliers = 0;
    }
}

void EngineProfile::adopt(const ReportedFigures &reported)
{
    if (!isPlausible(reported)) {
        return;
    }
    m_reported = reported;
    update();
}

std::optional<ReportedFigures> EngineProfile::report() const
{
    if (m_evidence.count < m_service->settings().minReportedEvidence) {
        return std::nullopt;
    }
    return ReportedFigures{figures(), doubtsOf(m_estimate), m_evidence.count};
}

//-----------------------------------------------------------------------------
// Engine profiles
//-----------------------------------------------------------------------------

EngineProfiles::EngineProfiles(EngineProfileSettings settings)
    : m_settings(settings)
{
}

const std::shared_ptr<ServiceProfile> &EngineProfiles::service(const core::ServiceId &id)
{
    std::shared_ptr<ServiceProfile> &profile = m_services[id];
    if (profile == nullptr) {
        profile = std::make_shared<ServiceProfile>(m_settings);
    }
    return profile;
}

std::shared_ptr<EngineProfile> EngineProfiles::engine(const core::ServiceId &service, const core::UpstreamId &upstream, StartTime startTime)
{
    std::erase_if(m_engines, [](const auto &item) { return item.second.profile.expired(); });
    Engine &entry = m_engines[upstream];
    std::shared_ptr<EngineProfile> profile = entry.profile.lock();
    if (profile == nullptr || entry.startTime != startTime || entry.service != service) {
        profile = std::make_shared<EngineProfile>(this->service(service));
        entry = Engine{service, startTime, profile};
    }
    return profile;
}

std::vector<ProfileReport> EngineProfiles::serviceReports() const
{
    std::vector<ProfileReport> reports;
    for (const auto &[id, profile] : m_services) {
        if (const auto figures = profile->report()) {
            reports.push_back(ProfileReport{id, {}, {}, *figures});
        }
    }
    return reports;
}

std::vector<ProfileReport> EngineProfiles::engineReports(std::size_t limit)
{
    std::vector<ProfileReport> reports;
    auto next = m_engines.upper_bound(m_lastReported);
    for (std::size_t seen = 0; seen < m_engines.size() && reports.size() < limit; ++seen) {
        if (next == m_engines.end()) {
            next = m_engines.begin();
        }
        const auto &[id, engine] = *next;
        const std::shared_ptr<EngineProfile> profile = engine.profile.lock();
        const std::optional<ReportedFigures> figures = profile == nullptr ? std::nullopt : profile->report();
        if (figures) {
            reports.push_back(ProfileReport{engine.service, id, engine.startTime, *figures});
        }
        m_lastReported = id;
        ++next;
    }
    return reports;
}

void EngineProfiles::adopt(const ProfileReport &report, const core::RegionId &region)
{
    if (report.upstream.empty()) {
        service(report.service)->adopt(region, report.figures);
        return;
    }
    const auto found = m_engines.find(report.upstream);
    if (found == m_engines.end() || found->second.startTime != report.startTime || found->second.service != report.service) {
        return;
    }
    if (const std::shared_ptr<EngineProfile> profile = found->second.profile.lock()) {
        profile->adopt(report.figures);
    }
}

} // namespace arbutus::routing
