#pragma once

#include "core/crash_suspect.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Kinds that may have crashed an endpoint, collected from the runs that were lost with it. At most one kind is repeated: runs that were
 * lost together are often started together again, and then the ages of all of them are alike.
 */
class crash_suspects
{
public:
    /**
     * Adds a run that was lost with the endpoint.
     * @param kind kind of the task
     * @param age time since the start of the run
     * @param earlierCrash age at which another endpoint crashed under the task; nothing if none has
     */
    void add(std::string_view kind, std::chrono::milliseconds age, std::optional<std::chrono::milliseconds> earlierCrash);

    /** @return the kinds, each once, sorted by name */
    std::vector<crash_suspect> list() const;

    /** @return number of runs that were added */
    std::size_t runs() const;

    /** @return age of the youngest run; zero if there is none */
    std::chrono::milliseconds youngestAge() const;

private:
    std::set<std::string, std::less<>> m_kinds;
    std::string m_repeated; ///< Kind of the run whose age is closest to that of its earlier crash; empty if none is close.
    std::chrono::milliseconds m_difference{}; ///< Difference of these ages.
    std::size_t m_runs = 0;
    std::chrono::milliseconds m_youngestAge{};
};

} // namespace teaselward
