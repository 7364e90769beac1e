#pragma once

#include <chrono>

namespace teaselward
{

/** Faults of a chain_simulation. */
struct chain_faults {
    double perSecond = 0; ///< Disruptions of processes, machines and connections a second.
    double lateOrders = 0; ///< Share of the starts and stops that get no answer and are carried out 2 to 12 s later.
    double lostAnswers = 0; ///< Share of the calls that are carried out at once and get no answer.
    double lateLists = 0; ///< Share of the list calls that get no answer and are carried out 2 to 12 s later.
};

} // namespace teaselward
