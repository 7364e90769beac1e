#pragma once

#include <array>
#include <cstddef>
#include <utility>
#include <variant>

namespace teaselward::detail
{

/**
 * Builds a table of member pointers with one row for each alternative of a variant of actions. The process class names the
 * adapter of an alternative by the static member function template `route<Alternative>()`.
 */
template<typename Process, typename Variant>
struct action_routes;

template<typename Process, typename... Alternatives>
struct action_routes<Process, std::variant<Alternatives...>> {
    using variant = std::variant<Alternatives...>;
    using member = bool (Process::*)(variant &);

    static constexpr std::array<member, sizeof...(Alternatives)> Table = {Process::template route<Alternatives>()...};

    /**
     * Hands an action to its adapter.
     * @param process process that owns the adapters
     * @param action the action; moved from only if it was taken
     * @return false if the ring of the adapter is full
     */
    static bool deliver(Process &process, variant &action)
    {
        return (process.*Table[action.index()])(action);
    }
};

} // namespace teaselward::detail
