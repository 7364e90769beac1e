#include "share/headroom.h"

#include <algorithm>

namespace teaselward
{

namespace
{

// Part of the slots, in thousandths. The kinds that come first use a fifth of the slots, in jobs of eight tasks.
constexpr std::size_t PartMillis = 60;

} // namespace

std::size_t headroom(std::size_t slots, std::size_t entries)
{
    return slots * PartMillis / 1000 / std::max<std::size_t>(1, entries);
}

} // namespace teaselward
