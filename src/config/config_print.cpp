#include "config/config_print.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <array>
#include <cstdlib>
#include <optional>

namespace teaselward
{

namespace
{

using namespace std::chrono;

constexpr std::array<const char *, 7> DayNames = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};

struct weekday_set {
    std::uint8_t bits;
};

std::string valueText(const std::string &value)
{
    return value;
}

std::string valueText(double value)
{
    return absl::StrFormat("%.12g", value);
}

std::string valueText(bool value)
{
    return value ? "yes" : "no";
}

std::string valueText(std::uint32_t value)
{
    return std::to_string(value);
}

std::string valueText(milliseconds value)
{
    return std::to_string(value.count()) + "ms";
}

std::string valueText(minutes value)
{
    return absl::StrFormat("%02d:%02d", value.count() / 60, value.count() % 60);
}

std::string valueText(const std::vector<std::string> &values)
{
    std::string text;
    for (const std::string &value : values) {
        text += (text.empty() ? "" : ", ") + value;
    }
    return text;
}

std::string valueText(weekday_set days)
{
    std::vector<std::string> names;
    for (std::size_t day = 0; day < DayNames.size(); ++day) {
        if (((days.bits >> day) & 1U) != 0) {
            names.emplace_back(DayNames[day]);
        }
    }
    return valueText(names);
}

std::string offsetText(minutes offset)
{
    return (offset.count() < 0 ? '-' : '+') + valueText(abs(offset));
}

std::string utcTimeText(sys_seconds utc)
{
    const auto day = floor<days>(utc);
    const year_month_day date(day);
    const hh_mm_ss time(utc - day);
    return absl::StrFormat("%04d-%02d-%02dT%02d:%02d:%02dZ",
                           static_cast<int>(date.year()),
                           static_cast<unsigned>(date.month()),
                           static_cast<unsigned>(date.day()),
                           time.hours().count(),
                           time.minutes().count(),
                           time.seconds().count());
}

// Appends a key if it is set.
template<typename T>
void printKey(std::string &text, const char *key, const std::optional<T> &value)
{
    if (value) {
        text += std::string(key) + " = " + valueText(*value) + '\n';
    }
}

void printSection(std::string &text, const service_section &section)
{
    printKey(text, "description", section.description);
    printKey(text, "weight", section.weight);
    printKey(text, "idempotent", section.idempotent);
    printKey(text, "time_limit", section.timeLimit);
    printKey(text, "queue_limit", section.queueLimit);
    printKey(text, "task_limit", section.taskLimit);
}

void printSection(std::string &text, const kind_section &section)
{
    printKey(text, "service", section.service);
    printKey(text, "weight", section.weight);
    printKey(text, "floor", section.floor);
    printKey(text, "idempotent", section.idempotent);
    printKey(text, "time_limit", section.timeLimit);
    printKey(text, "queue_limit", section.queueLimit);
    printKey(text, "task_limit", section.taskLimit);
}

void printSection(std::string &text, const team_section &section)
{
    printKey(text, "weight", section.weight);
    printKey(text, "quota", section.quota);
}

void printSection(std::string &text, const zone_section &section)
{
    if (section.offset) {
        text += "offset = " + offsetText(*section.offset) + '\n';
    }
    for (const auto &[time, offset] : section.transitions) {
        text += absl::StrCat(utcTimeText(time), " = ", offset ? offsetText(*offset) : "none", "\n");
    }
}

void printSection(std::string &text, const peak_section &section)
{
    printKey(text, "zone", section.zone);
    printKey(text, "from", section.from);
    printKey(text, "to", section.to);
    if (section.days) {
        text += "days = " + valueText(weekday_set{*section.days}) + '\n';
    }
    printKey(text, "kinds", section.kinds);
    printKey(text, "weight", section.weight);
    printKey(text, "floor", section.floor);
}

template<typename Sections>
void printSections(std::string &text, const std::string &type, const Sections &sections)
{
    for (const auto &[name, section] : sections) {
        text += absl::StrCat(text.empty() ? "[" : "\n[", type, " ", name, "]\n");
        printSection(text, section);
    }
}

} // namespace

std::string printModel(const config_model &model)
{
    std::string text;
    printSections(text, "service", model.services);
    printSections(text, "kind", model.kinds);
    printSections(text, "team", model.teams);
    printSections(text, "zone", model.zones);
    printSections(text, "peak", model.peaks);
    return text;
}

std::vector<std::string> danglingReferences(const config_model &model)
{
    std::vector<std::string> lines;
    for (const auto &[name, kind] : model.kinds) {
        if (kind.service && !model.services.contains(*kind.service)) {
            lines.push_back(absl::StrCat("kind ", name, ": there is no service ", *kind.service, "; the defaults apply"));
        }
    }
    for (const auto &[name, peak] : model.peaks) {
        if (peak.zone && !model.zones.contains(*peak.zone)) {
            lines.push_back(absl::StrCat("peak ", name, ": there is no zone ", *peak.zone, "; the peak is never active"));
        }
        for (const std::string &kind : peak.kinds.value_or(std::vector<std::string>{})) {
            if (kind != "*" && !model.kinds.contains(kind)) {
                lines.push_back(absl::StrCat("peak ", name, ": there is no kind ", kind, "; it is ignored"));
            }
        }
    }
    return lines;
}

} // namespace teaselward
