#pragma once

namespace teaselward
{

/**
 * Checks a run time factor of a message.
 * @param value run times at an endpoint over the expected ones
 * @return the factor limited to 0.01 to 100; zero, which stands for unknown, if it is no positive finite number
 */
double fromWireFactor(double value);

} // namespace teaselward
