#include "metrics/write_durations.h"

#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace teaselward
{

namespace
{

// Exported quantiles with their label values.
constexpr std::array Quantiles = {
    std::pair<double, std::string_view>{0.5, "0.5"},
    std::pair<double, std::string_view>{0.9, "0.9"},
    std::pair<double, std::string_view>{0.99, "0.99"},
    std::pair<double, std::string_view>{0.999, "0.999"},
};

double secondsOf(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void writeDurations(exposition_writer &writer,
                    std::string_view name,
                    const exposition_writer::label &first,
                    const exposition_writer::label &second,
                    const duration_distribution &durations)
{
    for (const auto &[probability, label] : Quantiles) {
        writer.sample(name, {first, second, {"quantile", label}}, secondsOf(durations.quantile(probability)));
    }
    writer.sample(std::string(name) + "_sum", {first, second}, secondsOf(durations.sum()));
    writer.sample(std::string(name) + "_count", {first, second}, static_cast<double>(durations.count()));
}

} // namespace teaselward
