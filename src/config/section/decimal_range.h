#pragma once

namespace teaselward
{

/** Inclusive range of a decimal number. */
struct decimal_range {
    double min = 0;
    double max = 0;
};

} // namespace teaselward
