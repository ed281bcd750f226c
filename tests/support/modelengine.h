// Model of an engine for tests: continuous batching with chunked prefill, as in standin/engine, with times of any scale and moments in
// which it is slower.
//
// A step prefills up to one chunk of the prompts in order, and makes one token for each request past its prefill.

#pragma once

#include "arbutus/routing/upstreamestimator.h"

#include <pcg_random.hpp>

#include <deque>
#include <random>
#include <vector>

namespace arbutus::test {

struct ModelEngineOptions
{
    double prefillTokensPerMs = 36;
    double stepMs = 6;
    double requestStepMs = 0.03;
    double speed = 1; // of all three
    double chunk = 2'048;
    double slowShare = 0; // of the periods of slowPeriodMs
    double slowFactor = 2.5;
    double slowPeriodMs = 600;
};

/// A request of the model, with the times at which things happened.
struct ModelRequest
{
    routing::PlacementId id;
    double prefillLeft = 0;
    std::uint32_t tokens = 0; // to generate
    std::uint32_t made = 0;
    bool disturbed = false; // the engine was slow for a moment before the first event
    core::TimePoint sentAt{};
    core::TimePoint firstEventAt{};
    core::TimePoint lastEventAt{};
    core::Duration maxGap{};
    core::Duration predicted{};
};

class ModelEngine
{
public:
    ModelEngine(ModelEngineOptions options, std::uint32_t tokensPerEvent, std::uint64_t seed)
        : m_options(options)
        , m_tokensPerEvent(tokensPerEvent)
        , m_random(seed)
    {
    }

    void setSpeed(double speed)
    {
        m_options.speed = speed;
    }
    void submit(ModelRequest request)
    {
        m_requests.push_back(std::move(request));
    }
    [[nodiscard]] bool isIdle() const
    {
        return m_requests.empty();
    }
    /// Runs one step from `now` and returns its duration; `emit` is called for each request that has a token at its end.
    template<class Emit>
    core::Duration step(core::TimePoint now, const Emit &emit)
    {
        double chunk = m_options.chunk;
        double prefilled = 0;
        std::vector<ModelRequest *> decoding;
        const bool slow = isSlow(now);
        for (ModelRequest &request : m_requests) {
            request.disturbed = request.disturbed || (slow && request.made < m_tokensPerEvent);
            if (request.prefillLeft <= 0) {
                decoding.push_back(&request);
                continue;
            }
            const double part = std::min(chunk, request.prefillLeft);
            request.prefillLeft -= part;
            chunk -= part;
            prefilled += part;
        }
        const double ms = (m_options.stepMs + m_options.requestStepMs * static_cast<double>(decoding.size()) + prefilled / m_options.prefillTokensPerMs)
            / m_options.speed * (slow ? m_options.slowFactor : 1);
        const core::Duration duration = std::chrono::microseconds(std::max<std::int64_t>(1, std::llround(ms * 1'000)));
        for (ModelRequest *request : decoding) {
            ++request->made;
            emit(*request, now + duration);
        }
        std::erase_if(m_requests, [](const ModelRequest &request) { return request.made >= request.tokens; });
        return duration;
    }

private:
    bool isSlow(core::TimePoint now)
    {
        const auto period = static_cast<std::int64_t>(routing::toFractionalMs(now.time_since_epoch()).count() / m_options.slowPeriodMs);
        if (period != m_period) {
            m_period = period;
            m_slow = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.slowShare;
        }
        return m_slow;
    }

    ModelEngineOptions m_options;
    std::uint32_t m_tokensPerEvent;
    std::deque<ModelRequest> m_requests;
    pcg64 m_random;
    std::int64_t m_period = -1;
    bool m_slow = false;
};

/// Times to the first event, predicted and observed.
struct ModelOutcome
{
    core::Duration predicted{};
    core::Duration observed{};
    bool disturbed = false;

    [[nodiscard]] bool isWithin(double ratio, core::Duration difference) const
    {
        const double actual = static_cast<double>(observed.count()) / static_cast<double>(std::max<core::Duration::rep>(predicted.count(), 1));
        return std::chrono::abs(observed - predicted) <= difference || (actual <= 1 + ratio && actual >= 1 / (1 + ratio));
    }
};

struct ModelLoad
{
    double utilization = 0.35; // share of the engine's time that prefill takes at its true rate
    double minPrompt = 200;
    double maxPrompt = 9'000;
    std::uint32_t minEvents = 3;
    std::uint32_t maxEvents = 40;
};

/// Sends `count` requests to the engine, each when the estimator sees no prefill before it, as the dispatcher does. `now` moves on.
inline std::vector<ModelOutcome> playEngine(routing::UpstreamEstimator &estimator,
                                            ModelEngine &engine,
                                            const ModelEngineOptions &options,
                                            const ModelLoad &load,
                                            std::uint32_t tokensPerEvent,
                                            int count,
                                            std::uint64_t seed,
                                            core::TimePoint &now)
{
    pcg64 random(seed);
    std::uniform_real_distribution<> logPrompt(std::log(load.minPrompt), std::log(load.maxPrompt));
    std::uniform_int_distribution<std::uint32_t> events(load.minEvents, load.maxEvents);
    std::exponential_distribution<> jitterMs(0.5);
    const double meanPrompt = (load.maxPrompt - load.minPrompt) / std::log(load.maxPrompt / load.minPrompt);
    std::exponential_distribution<> gapMs(load.utilization * options.prefillTokensPerMs * options.speed / meanPrompt);
    std::vector<ModelOutcome> outcomes;
    core::TimePoint nextArrival = now;
    int sent = 0;
    const auto emit = [&](ModelRequest &request, core::TimePoint at) {
        if (request.made % tokensPerEvent != 0) {
            return;
        }
        if (request.made == tokensPerEvent) {
            const core::Duration latency = at - request.sentAt + routing::toDuration(routing::FractionalMs(3 + jitterMs(random)));
            request.firstEventAt = at;
            outcomes.push_back(ModelOutcome{request.predicted, latency, request.disturbed});
            estimator.recordFirstEvent(request.id, latency, at);
        } else {
            request.maxGap = std::max(request.maxGap, at - request.lastEventAt);
        }
        request.lastEventAt = at;
        if (request.made >= request.tokens) {
            const routing::StreamTiming timing{request.tokens / tokensPerEvent - 1, at - request.firstEventAt, request.maxGap};
            estimator.recordCompletion(request.id, routing::SendOutcome::Completed, timing, at);
        }
    };
    while (sent < count || !engine.isIdle()) {
        while (sent < count && nextArrival <= now && estimator.backlog(now) == core::Duration::zero() && estimator.hasCapacity(0)) {
            ModelRequest request;
            request.id = routing::PlacementId(std::to_string(seed) + "/" + std::to_string(sent++));
            request.prefillLeft = std::exp(logPrompt(random));
            request.tokens = tokensPerEvent * events(random);
            request.sentAt = now;
            routing::InFlightRequest inFlight;
            inFlight.uncachedTokens = static_cast<std::uint32_t>(request.prefillLeft);
            request.predicted = estimator.predictLatency(inFlight.uncachedTokens, now);
            estimator.recordGrant(request.id, inFlight, {}, now);
            engine.submit(std::move(request));
            nextArrival += routing::toDuration(routing::FractionalMs(gapMs(random)));
        }
        if (!engine.isIdle()) {
            now += engine.step(now, emit);
        } else if (sent < count) {
            now = std::max({now + std::chrono::microseconds(1), nextArrival, now + estimator.backlog(now)});
        }
    }
    return outcomes;
}

} // namespace arbutus::test
