#pragma once

#include "sim/sim_stats.h"

#include <cstdint>
#include <iosfwd>
#include <string>

namespace teaselward
{

/** Prints the benchmark results and computes the signature over the deterministic ones. */
class bench_report
{
public:
    /**
     * @param out stream for the deterministic results
     * @param err stream for measured times, which differ between runs and are not part of the signature
     */
    bench_report(std::ostream &out, std::ostream &err);

    /** Adds the results of one simulation to the signature. */
    void add(const sim_stats &stats);

    /** Writes one line of deterministic results to the output stream. */
    void writeLine(const std::string &text);

    /** Writes one line of results that differ between runs to the error stream. */
    void writeNote(const std::string &text);

    /** @return hash over all results added so far */
    std::uint64_t signature() const;

private:
    std::ostream &m_out;
    std::ostream &m_err;
    std::uint64_t m_hash;
};

} // namespace teaselward
