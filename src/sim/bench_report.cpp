#include "sim/bench_report.h"

#include <ostream>

namespace teaselward
{

namespace
{

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325U; // 64-bit FNV-1a.
constexpr std::uint64_t FnvPrime = 0x100000001b3U;

} // namespace

bench_report::bench_report(std::ostream &out, std::ostream &err)
    : m_out(out)
    , m_err(err)
    , m_hash(FnvOffsetBasis)
{
}

void bench_report::add(const sim_stats &stats)
{
    m_hash = (m_hash ^ stats.hash()) * FnvPrime;
}

void bench_report::writeLine(const std::string &text)
{
    m_out << text << std::endl;
}

void bench_report::writeNote(const std::string &text)
{
    m_err << text << std::endl;
}

std::uint64_t bench_report::signature() const
{
    return m_hash;
}

} // namespace teaselward
