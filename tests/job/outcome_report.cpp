#include "job/outcome_report.h"

#include <boost/test/unit_test.hpp>

namespace teaselward
{

void report(const std::string &title, const std::map<std::string, kind_outcome> &outcomes)
{
    for (const auto &[kind, one] : outcomes) {
        BOOST_TEST_MESSAGE(title << " " << kind << ": submitted " << one.submitted << " in time " << one.inTime << " late " << one.late << " refused "
                                 << one.refused << " with room " << one.refusedWithRoom << " slowly " << one.refusedSlowly << " falsely " << one.refusedFalsely
                                 << " failed " << one.failed << " early " << one.failedEarly << " wasted " << one.wasted);
    }
}

} // namespace teaselward
