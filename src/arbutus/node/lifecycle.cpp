// The lifecycle as a Boost.MSM state machine.

#include "arbutus/node/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace arbutus::node {

namespace {

namespace front = boost::msm::front;

struct DrainEvent
{
};
struct IdleEvent
{
};
struct HandoverCompleteEvent
{
};

// Boost.MSM prescribes the names of these members.
// NOLINTBEGIN(readability-identifier-naming)
struct Definition : front::state_machine_def<Definition>
{
    struct Serving : front::state<>
    {
    };
    struct Draining : front::state<>
    {
    };
    struct HandingOver : front::state<>
    {
    };
    struct Stopped : front::state<>
    {
    };
    using initial_state = Serving;

    struct transition_table : boost::mpl::vector<front::Row<Serving, DrainEvent, Draining>,    //
                                                 front::Row<Draining, IdleEvent, HandingOver>, //
                                                 front::Row<HandingOver, HandoverCompleteEvent, Stopped>>
    { //
    };

    template<class Machine, class Event>
    void no_transition(const Event &, Machine &, int)
    {
    }
};
// NOLINTEND(readability-identifier-naming)

} // namespace

struct Lifecycle::Machine
{
    boost::msm::back::state_machine<Definition> machine;

    template<class Event>
    bool process(const Event &event)
    {
        return machine.process_event(event) == boost::msm::back::HANDLED_TRUE;
    }
};

std::string_view toString(LifecyclePhase phase)
{
    static constexpr std::array<std::string_view, 4> Names{"serving", "draining", "handing_over", "stopped"};
    return Names.at(static_cast<std::size_t>(phase));
}

Lifecycle::Lifecycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->machine.start();
}

Lifecycle::~Lifecycle() = default;

bool Lifecycle::beginDrain()
{
    return m_machine->process(DrainEvent{});
}

bool Lifecycle::completeDrain()
{
    return m_machine->process(IdleEvent{});
}

bool Lifecycle::completeHandover()
{
    return m_machine->process(HandoverCompleteEvent{});
}

LifecyclePhase Lifecycle::phase() const
{
    // States are numbered in the order in which the transition table first names them.
    return static_cast<LifecyclePhase>(*m_machine->machine.current_state());
}

} // namespace arbutus::node
