#include "place/separation_plan.h"

#include "place/address_rank.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace teaselward
{

std::map<std::string, placement_group, std::less<>> planSeparation(const std::vector<std::string> &addresses)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    ranked.reserve(addresses.size());
    for (const std::string &address : addresses) {
        ranked.emplace_back(addressRank(address), address);
    }
    std::ranges::sort(ranked);
    std::map<std::string, placement_group, std::less<>> groups;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        groups.emplace(ranked[i].second, i < ranked.size() / 2 ? placement_group::first : placement_group::second);
    }
    return groups;
}

} // namespace teaselward
