#pragma once

#include "base/clock.h"
#include "place/endpoint_record.h"
#include "place/speed_class.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace teaselward
{

/** Compares the run time factors of the connected endpoints. */
class endpoint_speeds
{
public:
    endpoint_speeds();

    /** Records that a factor or the set of connected endpoints has changed. */
    void invalidate();

    /**
     * Checks whether the factors have changed and the last review is old enough.
     * @param now current time
     */
    bool isReviewDue(mono_time now) const;

    /**
     * Computes the median and the relative factors and classes of all connected endpoints.
     * @param endpoints all endpoints; their relative factors are updated, their classes are not
     * @param now current time
     * @return indexes of the endpoints whose class differs from speedClass of their records
     */
    std::vector<std::size_t> review(std::deque<endpoint_record> &endpoints, mono_time now);

    /**
     * Computes the relative factor of an endpoint from the state of the last review.
     * @param endpoint the endpoint
     * @return its own factor or, if it has none, that of its machine type, relative to the median; else 1
     */
    double relativeFactor(const endpoint_record &endpoint) const;

    /**
     * Returns how long runs usually take at an endpoint, for the test of its health.
     * @param endpoint the endpoint
     * @return its factor over the last half minute, relative to the median; 1 if that belongs to the usual class or is unknown
     */
    double usualFactor(const endpoint_record &endpoint) const;

    /**
     * Returns the factor of an endpoint that the forecasts of run times take out of a run. It is the reported factor, less a small part of the
     * median. With the relative factor the forecasts, and then all reported factors, would shift within seconds after a start, and entries
     * would compare reports of different times; with the reported factor alone both would drift.
     * @param endpoint the endpoint
     * @return the factor; 1 if neither it nor that of the machine type is known
     */
    double forecastFactor(const endpoint_record &endpoint) const;

    /**
     * Returns the mean factor of a class, as reported by the agents.
     * @param speedClass the class
     */
    double classFactor(std::size_t speedClass) const;

private:
    /** Factors of the connected endpoints of one machine type. */
    struct type_sum {
        double sum = 0; ///< Of the logarithms.
        std::uint32_t count = 0;
    };

    const type_sum *typeOf(const endpoint_record &endpoint) const;
    void sumTypes(const std::deque<endpoint_record> &endpoints);
    bool logFactor(const endpoint_record &endpoint, double &value) const;

    std::map<std::string, type_sum, std::less<>> m_types; ///< By name.
    std::array<double, SpeedClasses> m_classFactors{};
    double m_logMedian = 0;
    bool m_hasMedian = false;
    bool m_isChanged = false;
    mono_time m_lastReview{};
    mono_time m_nextReview{};
};

} // namespace teaselward
