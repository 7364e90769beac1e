#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Parameters of one simulated run: cluster size, latencies, load and faults. The defaults describe the current cluster. */
struct sim_setup {
    static constexpr std::size_t Kinds = 3; ///< Number of kinds, in descending order of urgency.
    static constexpr std::size_t None = static_cast<std::size_t>(-1); ///< Stands for no kind, worker or entry.

    std::string strategy = "credits"; ///< Name in the table of placement strategies.
    std::string creditPolicy = "shared"; ///< Name in the table of credit policies.
    bool fifo = false; ///< Uses one FIFO queue for all kinds, as a baseline.
    std::uint64_t seed = 1;

    std::size_t entries = 3;
    std::size_t workers = 11;
    std::uint32_t slots = 8;
    std::size_t failureDomains = 3;
    std::chrono::microseconds localLatency{100}; ///< One-way latency within a failure domain.
    std::chrono::microseconds remoteLatency{500}; ///< One-way latency between failure domains.
    std::chrono::microseconds callerLatency{3000}; ///< One-way latency between caller and entry.

    std::array<double, Kinds> load{0.28, 0.21, 0.21}; ///< Offered load of each kind as a fraction of the capacity.
    std::size_t singleEntryKind = None; ///< Kind whose jobs all arrive at the first entry.
    std::vector<double> entryShares{1, 1, 1}; ///< Relative load of the entries.
    std::chrono::seconds duration{300};
    std::chrono::seconds warmUp{20}; ///< Jobs sent earlier are not measured.
    std::chrono::milliseconds timeLimit{10000}; ///< Time from the arrival of a job to its deadline.

    std::size_t failingWorker = None; ///< Worker that fails every task after 1 ms from faultStart on.
    std::size_t disconnectedEntry = None; ///< Entry without connections to the agents from faultStart to faultEnd.
    std::chrono::seconds faultStart{0};
    std::chrono::seconds faultEnd{0};
};

} // namespace teaselward
