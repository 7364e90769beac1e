#include "place/isolation_plan.h"

#include "place/address_rank.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>

namespace teaselward
{

namespace
{

// One endpoint in this many is isolated. The other kinds keep three quarters of the endpoints; more isolated endpoints would serve
// more healthy jobs of the quarantined kind, as each of them is away for seconds after each crash.
constexpr std::size_t EndpointsPerIsolated = 4;

// One isolated endpoint in this many is reserved for tasks under which an endpoint has crashed, so that their next crash does not
// take away an endpoint that runs other tasks of the kind.
constexpr std::size_t IsolatedPerSuspect = 3;

} // namespace

std::map<std::string, placement_lane, std::less<>> planIsolation(const std::vector<std::string> &addresses)
{
    std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
    ranked.reserve(addresses.size());
    for (const std::string &address : addresses) {
        ranked.emplace_back(addressRank(address), address);
    }
    std::ranges::sort(ranked);
    const std::size_t isolated = ranked.size() < 2 ? 0 : (ranked.size() + EndpointsPerIsolated - 1) / EndpointsPerIsolated;
    const std::size_t suspect = isolated < 2 ? 0 : std::max<std::size_t>(1, isolated / IsolatedPerSuspect);
    std::map<std::string, placement_lane, std::less<>> lanes;
    for (std::size_t i = 0; i < ranked.size(); ++i) {
        const placement_lane lane = i < suspect ? placement_lane::suspect : i < isolated ? placement_lane::isolated : placement_lane::shared;
        lanes.emplace(ranked[i].second, lane);
    }
    return lanes;
}

} // namespace teaselward
