#pragma once

#include <array>
#include <cstddef>
#include <utility>
#include <variant>

namespace teaselward::detail
{

/**
 * Dispatch table from actions to adapters, with one member pointer for each alternative of the action variant.
 * `Process::route<Alternative>()` returns the member function that handles the alternative.
 */
template<typename Process, typename Variant>
struct action_routes;

template<typename Process, typename... Alternatives>
struct action_routes<Process, std::variant<Alternatives...>> {
    using variant = std::variant<Alternatives...>;
    using member = bool (Process::*)(variant &);

    static constexpr std::array<member, sizeof...(Alternatives)> Table = {Process::template route<Alternatives>()...};

    /**
     * Passes an action to its adapter.
     * @param process object that owns the adapters
     * @param action the action; moved from only if the adapter accepts it
     * @return false if the adapter's ring is full
     */
    static bool deliver(Process &process, variant &action)
    {
        return (process.*Table[action.index()])(action);
    }
};

} // namespace teaselward::detail
