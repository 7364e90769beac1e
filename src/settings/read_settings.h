#pragma once

#include "settings/setting_spec.h"
#include "settings/setting_value.h"
#include "settings/settings_file.h"
#include "settings/settings_result.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <optional>
#include <span>
#include <string>

namespace teaselward
{

namespace detail
{

/** Parses the text of one setting and stores the value; one overload for each type of member. */
template<typename Settings>
class setting_writer
{
public:
    setting_writer(const setting_spec<Settings> &spec, Settings &settings)
        : m_spec(spec)
        , m_settings(settings)
    {
    }

    /**
     * Stores a value.
     * @param text text of the value
     * @return error message, or nothing
     */
    std::optional<std::string> write(const std::string &text)
    {
        return std::visit(
            [this, &text](auto member) {
                return store(member, text);
            },
            m_spec.member);
    }

private:
    std::optional<std::string> store(std::string Settings::*member, const std::string &text)
    {
        if (m_spec.format == setting_format::address && !isAddress(text)) {
            return "not an address of the form IP:PORT";
        }
        m_settings.*member = text;
        return std::nullopt;
    }

    std::optional<std::string> store(std::vector<std::string> Settings::*member, const std::string &text)
    {
        const auto words = parseList(text);
        if (m_spec.format == setting_format::addresses && !std::all_of(words.begin(), words.end(), isAddress)) {
            return "not a list of addresses of the form IP:PORT";
        }
        m_settings.*member = words;
        return std::nullopt;
    }

    std::optional<std::string> store(std::chrono::milliseconds Settings::*member, const std::string &text)
    {
        const auto duration = parseDuration(text);
        if (!duration) {
            return "not a duration such as 500ms, 10s, 2m or 24h";
        }
        if (duration->count() < m_spec.min || duration->count() > m_spec.max) {
            return absl::StrCat("out of range ", m_spec.min, "ms to ", m_spec.max, "ms");
        }
        m_settings.*member = *duration;
        return std::nullopt;
    }

    std::optional<std::string> store(std::uint32_t Settings::*member, const std::string &text)
    {
        const auto number = parseNumber(text);
        if (!number) {
            return "not a whole number";
        }
        if (*number < m_spec.min || *number > m_spec.max) {
            return absl::StrCat("out of range ", m_spec.min, " to ", m_spec.max);
        }
        m_settings.*member = *number;
        return std::nullopt;
    }

    std::optional<std::string> store(bool Settings::*member, const std::string &text)
    {
        const auto flag = parseFlag(text);
        if (!flag) {
            return "not yes or no";
        }
        m_settings.*member = *flag;
        return std::nullopt;
    }

    const setting_spec<Settings> &m_spec;
    Settings &m_settings;
};

} // namespace detail

/**
 * Reads the settings that a table describes. Reports all errors of the file, not only the first one.
 * @param file parsed settings file
 * @param specs table of the settings
 * @return the settings and the errors
 */
template<typename Settings>
settings_result<Settings> readSettings(const settings_file &file, std::span<const setting_spec<Settings>> specs)
{
    settings_result<Settings> result;
    if (file.syntaxError()) {
        result.errors.push_back(*file.syntaxError());
        return result;
    }
    for (const std::string &key : file.keys()) {
        const auto spec = std::find_if(specs.begin(), specs.end(), [&key](const auto &candidate) {
            return candidate.key == key;
        });
        if (spec == specs.end()) {
            result.errors.push_back(file.errorAt(key, "unknown key"));
            continue;
        }
        const auto error = detail::setting_writer<Settings>(*spec, result.settings).write(*file.value(key));
        if (error) {
            result.errors.push_back(file.errorAt(key, *error));
        }
    }
    for (const auto &spec : specs) {
        if (spec.required && !file.value(spec.key)) {
            result.errors.push_back(file.errorAt(spec.key, "missing"));
        }
    }
    return result;
}

} // namespace teaselward
