// Membership in a set that ends with a scope.

#pragma once

#include <memory>
#include <set>
#include <utility>

namespace arbutus::core {

/// Keeps an element in a set for the lifetime of the object, which may outlive the owner of the set: a coroutine is destroyed with its executor.
template<class T>
class ScopedElement
{
public:
    ScopedElement(std::shared_ptr<std::set<T>> elements, const T &element)
        : m_elements(std::move(elements))
        , m_element(element)
    {
        m_elements->insert(m_element);
    }
    ScopedElement(const ScopedElement &) = delete;
    ScopedElement &operator=(const ScopedElement &) = delete;
    ~ScopedElement()
    {
        m_elements->erase(m_element);
    }

private:
    std::shared_ptr<std::set<T>> m_elements;
    T m_element;
};

} // namespace arbutus::core
