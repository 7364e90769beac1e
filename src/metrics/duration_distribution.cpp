#include "metrics/duration_distribution.h"

#include <cmath>

namespace teaselward
{

namespace
{

std::chrono::microseconds rounded(double value)
{
    return std::chrono::microseconds(std::llround(value));
}

} // namespace

void duration_distribution::add(std::chrono::microseconds value)
{
    m_values.add(static_cast<double>(value.count()));
}

std::uint64_t duration_distribution::count() const
{
    return m_values.count();
}

std::chrono::microseconds duration_distribution::sum() const
{
    return rounded(m_values.sum());
}

std::chrono::microseconds duration_distribution::mean() const
{
    return rounded(m_values.mean());
}

std::chrono::microseconds duration_distribution::max() const
{
    return rounded(m_values.max());
}

std::chrono::microseconds duration_distribution::quantile(double probability) const
{
    return rounded(m_values.quantile(probability));
}

} // namespace teaselward
