#pragma once

namespace teaselward
{

/** Range of a decimal number, with its ends. */
struct decimal_range {
    double min = 0;
    double max = 0;
};

} // namespace teaselward
