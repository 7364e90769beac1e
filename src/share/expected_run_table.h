#pragma once

#include "share/expected_run.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace teaselward
{

/** Forecasts of the run times at a usual endpoint, by kind. Used by the decision thread of an entry only. */
class expected_run_table
{
public:
    /**
     * Adds a successful run.
     * @param kind kind of the task
     * @param declared run time that the caller declared; zero if none
     * @param runTime measured run time
     * @param factor run time factor of the endpoint
     */
    void add(std::string_view kind, std::chrono::milliseconds declared, std::chrono::microseconds runTime, double factor);

    /**
     * Forecasts a run at a usual endpoint.
     * @param kind kind of the task
     * @param declared run time that the caller declared; zero if none
     * @return the run time; zero if it is not known
     */
    std::chrono::microseconds expect(std::string_view kind, std::chrono::milliseconds declared) const;

private:
    std::map<std::string, expected_run, std::less<>> m_kinds;
};

} // namespace teaselward
