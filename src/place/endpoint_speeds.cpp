#include "place/endpoint_speeds.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace teaselward
{

namespace
{

// A review takes time in proportion to the endpoints, so it is done for many answers at once.
constexpr std::chrono::milliseconds ReviewInterval{250};

constexpr std::size_t MaxMachineTypes = 16; // Endpoints of further types count as if they had none.

// The forecasts of a kind with 80 runs a second approach the median endpoint with a time constant of half a minute.
constexpr double MedianWeight = 0.1;

// An endpoint that becomes slow for some seconds must still be found by the test of its health, so what is usual for it follows later.
constexpr std::chrono::duration<double> UsualTime{30};

} // namespace

endpoint_speeds::endpoint_speeds()
{
    m_classFactors.fill(1);
}

void endpoint_speeds::invalidate()
{
    m_isChanged = true;
}

bool endpoint_speeds::isReviewDue(mono_time now) const
{
    return m_isChanged && now >= m_nextReview;
}

std::vector<std::size_t> endpoint_speeds::review(std::deque<endpoint_record> &endpoints, mono_time now)
{
    m_isChanged = false;
    const double usualWeight = -std::expm1(-((now - m_lastReview) / UsualTime));
    m_lastReview = now;
    m_nextReview = now + ReviewInterval;
    sumTypes(endpoints);
    std::vector<double> values;
    for (const endpoint_record &endpoint : endpoints) {
        double value = 0;
        if (endpoint.connected && logFactor(endpoint, value)) {
            values.push_back(value);
        }
    }
    m_hasMedian = !values.empty();
    if (m_hasMedian) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
        std::ranges::nth_element(values, middle);
        m_logMedian = *middle;
    }
    std::vector<std::size_t> changed;
    std::array<type_sum, SpeedClasses> classes;
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
        endpoint_record &endpoint = endpoints[index];
        if (!endpoint.connected) {
            continue;
        }
        endpoint.relativeFactor = relativeFactor(endpoint);
        if (endpoint.info.runTimeFactor > 0) {
            const double value = std::log(endpoint.relativeFactor);
            const double former = endpoint.usualLogFactor.value_or(value);
            endpoint.usualLogFactor = former + usualWeight * (value - former);
        }
        const std::size_t current = speedClass(endpoint.relativeFactor, endpoint.speedClass);
        classes.at(current).sum += std::log(endpoint.relativeFactor);
        ++classes.at(current).count;
        if (current != endpoint.speedClass) {
            changed.push_back(index);
        }
    }
    for (std::size_t i = 0; i < SpeedClasses; ++i) {
        m_classFactors.at(i) = classes.at(i).count == 0 ? 1 : std::exp(classes.at(i).sum / classes.at(i).count + m_logMedian);
    }
    return changed;
}

void endpoint_speeds::sumTypes(const std::deque<endpoint_record> &endpoints)
{
    m_types.clear();
    for (const endpoint_record &endpoint : endpoints) {
        if (!endpoint.connected || endpoint.info.machineType.empty() || endpoint.info.runTimeFactor <= 0) {
            continue;
        }
        if (m_types.size() >= MaxMachineTypes && !m_types.contains(endpoint.info.machineType)) {
            continue;
        }
        type_sum &type = m_types[endpoint.info.machineType];
        type.sum += std::log(endpoint.info.runTimeFactor);
        ++type.count;
    }
}

const endpoint_speeds::type_sum *endpoint_speeds::typeOf(const endpoint_record &endpoint) const
{
    const auto found = m_types.find(endpoint.info.machineType);
    return found == m_types.end() ? nullptr : &found->second;
}

// Returns whether the factor of an endpoint, or of its machine type, is known.
bool endpoint_speeds::logFactor(const endpoint_record &endpoint, double &value) const
{
    if (endpoint.info.runTimeFactor > 0) {
        value = std::log(endpoint.info.runTimeFactor);
        return true;
    }
    const type_sum *type = typeOf(endpoint);
    if (type == nullptr) {
        return false;
    }
    value = type->sum / type->count;
    return true;
}

double endpoint_speeds::relativeFactor(const endpoint_record &endpoint) const
{
    double value = 0;
    return m_hasMedian && logFactor(endpoint, value) ? std::exp(value - m_logMedian) : 1;
}

double endpoint_speeds::forecastFactor(const endpoint_record &endpoint) const
{
    double value = 0;
    return m_hasMedian && logFactor(endpoint, value) ? std::exp(value - MedianWeight * m_logMedian) : 1;
}

// The machine type says little: at the script service slow endpoints are as frequent among large machines as among small ones.
double endpoint_speeds::usualFactor(const endpoint_record &endpoint) const
{
    if (!endpoint.usualLogFactor) {
        return 1;
    }
    const double factor = std::exp(*endpoint.usualLogFactor);
    return speedClass(factor, UsualSpeedClass) == UsualSpeedClass ? 1 : factor;
}

double endpoint_speeds::classFactor(std::size_t speedClass) const
{
    return m_classFactors.at(speedClass);
}

} // namespace teaselward
