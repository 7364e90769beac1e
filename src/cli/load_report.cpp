#include "cli/load_report.h"

#include "core/reason_text.h"

#include <array>
#include <iomanip>

namespace teaselward
{

namespace
{

constexpr std::array Quantiles = {
    std::pair<double, const char *>{0.5, "p50"},
    std::pair<double, const char *>{0.9, "p90"},
    std::pair<double, const char *>{0.99, "p99"},
    std::pair<double, const char *>{0.999, "p99.9"},
};

double millisecondsOf(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

void printTimes(std::ostream &out, const char *name, const duration_distribution &times)
{
    out << name << " n=" << times.count() << " mean=" << millisecondsOf(times.mean());
    for (const auto &[probability, label] : Quantiles) {
        out << ' ' << label << '=' << millisecondsOf(times.quantile(probability));
    }
    out << " max=" << millisecondsOf(times.max()) << '\n';
}

} // namespace

void load_report::countSkipped()
{
    ++m_skipped;
}

void load_report::countLost()
{
    ++m_lost;
}

void load_report::countAnswer(const job_answer &answer, std::chrono::microseconds response, std::chrono::microseconds ideal)
{
    ++m_answered;
    if (answer.state != job_state::complete) {
        ++m_reasons[{answer.why, answer.notRun}];
        if (answer.state == job_state::refused) {
            m_refused.add(response);
        }
        return;
    }
    m_complete.add(response);
    m_tasks += answer.results.size();
    if (ideal.count() > 0) {
        m_ratio.add(static_cast<double>(response.count()) / static_cast<double>(ideal.count()));
    }
}

std::uint64_t load_report::ended() const
{
    return m_answered + m_lost;
}

void load_report::print(std::ostream &out, std::chrono::microseconds elapsed) const
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    out << std::fixed << std::setprecision(2);
    out << "jobs sent=" << ended() << " complete=" << m_complete.count() << " lost=" << m_lost << " skipped=" << m_skipped << " seconds=" << seconds << '\n';
    out << "goodput tasks_per_second=" << (seconds > 0 ? static_cast<double>(m_tasks) / seconds : 0) << '\n';
    for (const auto &[key, count] : m_reasons) {
        out << "not_complete reason=" << reasonText(key.first) << " not_run=" << (key.second ? "true" : "false") << " n=" << count << '\n';
    }
    printTimes(out, "response_ms", m_complete);
    if (m_refused.count() > 0) {
        printTimes(out, "refusal_ms", m_refused);
    }
    if (m_ratio.count() > 0) {
        out << "response_to_ideal mean=" << m_ratio.mean();
        for (const auto &[probability, label] : Quantiles) {
            out << ' ' << label << '=' << m_ratio.quantile(probability);
        }
        out << " max=" << m_ratio.max() << '\n';
    }
}

} // namespace teaselward
