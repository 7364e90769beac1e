#pragma once

#include "core/crash_suspect.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/** Kinds that may have crashed an endpoint, collected from the runs that were lost with it. */
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
    std::map<std::string, bool, std::less<>> m_isRepeated; ///< By kind.
    std::size_t m_runs = 0;
    std::chrono::milliseconds m_youngestAge{};
};

} // namespace teaselward
