#include "job/kind_outcome.h"

namespace teaselward
{

namespace
{

constexpr double LateFactor = 3; // Answers that take longer than this multiple of the objective are useless.

} // namespace

void kind_outcome::add(const simulated_job &job)
{
    ++submitted;
    wasted += job.wasted;
    switch (job.result) {
    case simulated_result::none:
        break;
    case simulated_result::complete:
        if (job.took <= job.objective) {
            ++inTime;
        } else if (job.took <= LateFactor * job.objective) {
            ++late;
        }
        break;
    case simulated_result::refused:
        ++refused;
        refusedWithRoom += job.isRefusedWithRoom ? 1 : 0;
        refusedSlowly += 4 * job.took > job.objective ? 1 : 0;
        refusedFalsely += job.hasStarted ? 1 : 0;
        break;
    case simulated_result::failed:
        ++failed;
        failedEarly += job.isFailedEarly ? 1 : 0;
        break;
    }
}

double kind_outcome::fractionInTime() const
{
    return submitted == 0 ? 1 : static_cast<double>(inTime) / static_cast<double>(submitted);
}

} // namespace teaselward
