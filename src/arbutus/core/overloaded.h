// Visitor composed of lambdas, for std::visit.

#pragma once

namespace arbutus::core {

/// Overloaded{[](A) {…}, [](B) {…}} calls the overload that matches its argument.
template<class... Visitors>
struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};

template<class... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace arbutus::core
