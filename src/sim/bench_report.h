#pragma once

#include "sim/sim_stats.h"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace teaselward
{

/** Output of the bench with the signature over all deterministic results. */
class bench_report
{
public:
    /**
     * @param out receiver of the deterministic results
     * @param err receiver of times of the wall clock, which are not part of the signature
     */
    bench_report(std::ostream &out, std::ostream &err);

    /** Adds the results of a run to the signature. */
    void add(const sim_stats &stats);

    /** Writes a line of deterministic results. */
    void writeLine(const std::string &text);

    /** Writes a line that differs between runs. */
    void writeNote(const std::string &text);

    /** @return signature of all results added */
    std::uint64_t signature() const;

private:
    std::ostream &m_out;
    std::ostream &m_err;
    std::uint64_t m_hash;
};

} // namespace teaselward
