#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace teaselward
{

/** Writes metrics in the Prometheus text exposition format, version 0.0.4. */
class exposition_writer
{
public:
    static constexpr std::string_view ContentType = "text/plain; version=0.0.4; charset=utf-8";

    using label = std::pair<std::string_view, std::string_view>; ///< Name and value.

    /**
     * Starts a metric family.
     * @param name name of the metric
     * @param type counter, gauge or summary
     * @param help one line about the metric
     */
    void family(std::string_view name, std::string_view type, std::string_view help);

    /**
     * Writes one sample.
     * @param name name of the metric, with a suffix such as _count if the family is a summary
     * @param labels labels; their values may contain any characters
     * @param value the value
     */
    void sample(std::string_view name, std::initializer_list<label> labels, double value);

    /** @return the text written so far, which is moved out of the writer */
    std::string take();

private:
    std::string m_text;
};

} // namespace teaselward
