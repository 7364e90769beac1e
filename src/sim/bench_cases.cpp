#include "sim/bench_cases.h"

#include "sim/decision_cost_case.h"
#include "sim/entry_share_case.h"
#include "sim/failing_worker_case.h"
#include "sim/flood_case.h"
#include "sim/overload_case.h"
#include "sim/placement_case.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::array Table = {
    bench_case{"placement", &runPlacementCase},
    bench_case{"floods", &runFloodCase},
    bench_case{"failing", &runFailingWorkerCase},
    bench_case{"overload", &runOverloadCase},
    bench_case{"entries", &runEntryShareCase},
    bench_case{"cost", &runDecisionCostCase},
};

} // namespace

std::span<const bench_case> benchCases()
{
    return Table;
}

} // namespace teaselward
