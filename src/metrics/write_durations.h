#pragma once

#include "metrics/duration_distribution.h"
#include "metrics/exposition_writer.h"

#include <string_view>

namespace teaselward
{

/**
 * Writes a distribution of durations as a summary in seconds: quantiles, sum and count.
 * @param writer receives the samples
 * @param name name of the summary
 * @param first label of all samples
 * @param second another label of all samples
 * @param durations the distribution
 */
void writeDurations(exposition_writer &writer,
                    std::string_view name,
                    const exposition_writer::label &first,
                    const exposition_writer::label &second,
                    const duration_distribution &durations);

} // namespace teaselward
