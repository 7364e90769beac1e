#include "agent/presence_history.h"

#include <algorithm>

namespace teaselward
{

void presence_history::change(bool isPresent, mono_time now)
{
    entry next{.at = now, .isPresent = isPresent};
    if (m_count > 0) {
        const entry &last = newest(0);
        next.presentBefore = last.presentBefore + (last.isPresent ? now - last.at : std::chrono::nanoseconds{});
    }
    m_entries.at(m_count % MaxChanges) = next;
    ++m_count;
}

const presence_history::entry &presence_history::newest(std::size_t age) const
{
    return m_entries.at((m_count - 1 - age) % MaxChanges);
}

// Finds the last change that is not later than the time. A kind that never ran was never present.
std::optional<std::chrono::nanoseconds> presence_history::presentUntil(mono_time when) const
{
    const auto kept = static_cast<std::size_t>(std::min<std::uint64_t>(m_count, MaxChanges));
    std::size_t low = 0; // Ages below this are later than the time.
    std::size_t high = kept;
    while (low < high) {
        const std::size_t middle = (low + high) / 2;
        (newest(middle).at > when ? low : high) = newest(middle).at > when ? middle + 1 : middle;
    }
    if (low == kept) {
        return m_count > MaxChanges ? std::nullopt : std::optional(std::chrono::nanoseconds{});
    }
    const entry &last = newest(low);
    return last.presentBefore + (last.isPresent ? when - last.at : std::chrono::nanoseconds{});
}

std::optional<double> presence_history::share(mono_time from, mono_time to) const
{
    const auto before = presentUntil(from);
    const auto after = presentUntil(to);
    if (!before || !after) {
        return std::nullopt;
    }
    return std::chrono::duration<double>(*after - *before) / std::chrono::duration<double>(to - from);
}

} // namespace teaselward
