// Event queue, timer ticks and dispatch of actions.

#include "arbutus/gateway/decisionloop.h"

#include "arbutus/observe/logline.h"

#include <ctime>

namespace arbutus::gateway {

namespace {

std::int64_t threadCpuTimeNs()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::int64_t{time.tv_sec} * 1'000'000'000 + time.tv_nsec;
}

} // namespace

DecisionLoop::DecisionLoop(const core::Clock &clock, node::NodeSettings settings, std::size_t queueCapacity, ActionSink sink)
    : m_clock(clock)
    , m_node(clock, std::move(settings))
    , m_queue(queueCapacity)
    , m_sink(std::move(sink))
{
}

DecisionLoop::~DecisionLoop()
{
    stop();
}

void DecisionLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void DecisionLoop::stop()
{
    m_stopping = true;
    m_queue.close();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool DecisionLoop::tryPost(node::Event event)
{
    return m_queue.tryPush(Item(std::move(event)));
}

void DecisionLoop::post(node::Event event)
{
    const std::size_t type = event.index();
    if (!m_queue.push(Item(std::move(event)))) {
        observe::LogLine("event_after_stop").add("type", type).write();
    }
}

bool DecisionLoop::tryPostQuery(NodeQuery query)
{
    return m_queue.tryPush(Item(std::move(query)));
}

std::size_t DecisionLoop::queueLength() const
{
    return m_queue.size();
}

void DecisionLoop::run()
{
    core::TimePoint nextTick = m_clock.steadyNow();
    while (!m_stopping) {
        const core::TimePoint now = m_clock.steadyNow();
        if (now >= nextTick) {
            nextTick = now + node::MaxTickInterval;
            handle(node::TimerTick{});
            m_cpuTimeNs = threadCpuTimeNs();
        }
        auto item = m_queue.pop(std::max(core::Duration(0), nextTick - m_clock.steadyNow()));
        if (!item) {
            continue;
        }
        if (const auto *event = std::get_if<node::Event>(&*item)) {
            handle(*event);
        } else {
            std::get<NodeQuery> (*item)(m_node);
        }
    }
}

void DecisionLoop::handle(const node::Event &event)
{
    for (node::Action &action : m_node.handle(event)) {
        m_sink(std::move(action));
    }
}

} // namespace arbutus::gateway
