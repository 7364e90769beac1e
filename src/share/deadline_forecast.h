#pragma once

#include <chrono>

namespace teaselward
{

/**
 * Checks whether the tasks of a job will most likely run past its deadline. Answers an overload with some jobs that run for several
 * times as long as usual: until their deadline they hold slots in which others could have been served.
 * @param usual mean run time of the tasks of the kind
 * @param declared run time that the caller has declared; zero if unknown
 * @param timeLimit time until the deadline of the job
 * @return whether the job should be refused while other work waits
 */
bool missesDeadline(std::chrono::duration<double> usual, std::chrono::milliseconds declared, std::chrono::milliseconds timeLimit);

} // namespace teaselward
