#pragma once

#include <chrono>
#include <cstdint>

namespace teaselward
{

/**
 * Forecast of the run times of one kind at a usual endpoint. It learns from runs at all endpoints; the factor of each endpoint is
 * taken out, so that neither slow endpoints nor a preference for some of them change it.
 */
class expected_run
{
public:
    /**
     * Adds a successful run.
     * @param declared run time that the caller declared; zero if none
     * @param runTime measured run time
     * @param factor run time factor of the endpoint
     */
    void add(std::chrono::milliseconds declared, std::chrono::microseconds runTime, double factor);

    /**
     * Forecasts a run at a usual endpoint.
     * @param declared run time that the caller declared; zero if none
     * @return the run time; zero if it is not known
     */
    std::chrono::microseconds expect(std::chrono::milliseconds declared) const;

private:
    /** Moving average. */
    struct average {
        double mean = 0;
        std::uint64_t count = 0;

        void add(double value);
    };

    average m_declaredError; ///< Logarithm of run time over declared run time.
    average m_usual; ///< Logarithm of the run time in microseconds.
};

} // namespace teaselward
