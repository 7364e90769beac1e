#pragma once

#include <array>
#include <cstddef>
#include <type_traits>
#include <utility>
#include <variant>

namespace teaselward
{

/**
 * Dispatch table with one handler for each alternative of a variant.
 * @tparam V the variant
 * @tparam H type of the member pointers
 */
template<typename V, typename H>
class action_table
{
public:
    /** @param fallback handler of every alternative that is not set */
    explicit action_table(H fallback)
    {
        m_handlers.fill(fallback);
    }

    /**
     * Sets the handler of an alternative.
     * @tparam T the alternative
     * @param handler its handler
     */
    template<typename T>
    action_table &&set(H handler) &&
    {
        m_handlers[indexOf<T>()] = handler;
        return std::move(*this);
    }

    /** @return handler of the alternative that a value holds */
    H at(const V &value) const
    {
        return m_handlers.at(value.index());
    }

private:
    template<typename T, std::size_t I = 0>
    static constexpr std::size_t indexOf()
    {
        if constexpr (std::is_same_v<std::variant_alternative_t<I, V>, T>) {
            return I;
        } else {
            return indexOf<T, I + 1>();
        }
    }

    std::array<H, std::variant_size_v<V>> m_handlers{};
};

} // namespace teaselward
