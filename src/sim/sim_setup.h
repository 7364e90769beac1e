#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** One simulated run: the sizes of today, the load and the faults. */
struct sim_setup {
    static constexpr std::size_t Kinds = 3; ///< The first is the most urgent, the last the least.
    static constexpr std::size_t None = static_cast<std::size_t>(-1);

    std::string strategy = "credits"; ///< Name in the table of placement strategies.
    std::string creditPolicy = "shared"; ///< Name in the table of credit policies.
    bool fifo = false; ///< Baseline: one queue for all kinds.
    std::uint64_t seed = 1;

    std::size_t entries = 3;
    std::size_t workers = 11;
    std::uint32_t slots = 8;
    std::size_t failureDomains = 3;
    std::chrono::microseconds localLatency{100}; ///< One way within a failure domain.
    std::chrono::microseconds remoteLatency{500}; ///< One way between failure domains.
    std::chrono::microseconds callerLatency{3000}; ///< One way between caller and entry.

    std::array<double, Kinds> load{0.28, 0.21, 0.21}; ///< Offered work over capacity, for each kind.
    std::size_t singleEntryKind = None; ///< All jobs of this kind arrive at the first entry.
    std::vector<double> entryShares{1, 1, 1}; ///< Relative load of the entries.
    std::chrono::seconds duration{300};
    std::chrono::seconds warmUp{20}; ///< Jobs that arrive earlier are not measured.
    std::chrono::milliseconds timeLimit{10000}; ///< Deadline of a job.

    std::size_t failingWorker = None; ///< Fails every task after 1 ms from faultStart on.
    std::size_t disconnectedEntry = None; ///< Has no connection to the agents from faultStart to faultEnd.
    std::chrono::seconds faultStart{0};
    std::chrono::seconds faultEnd{0};
};

} // namespace teaselward
