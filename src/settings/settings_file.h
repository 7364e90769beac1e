#pragma once

#include "settings/settings_error.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

namespace detail
{
class settings_file_private;
}

/** Parsed INI file with the line number of each key. */
class settings_file
{
public:
    /**
     * Parses a text.
     * @param name name of the file, for error messages
     * @param text content of the file
     */
    settings_file(std::string name, const std::string &text);
    ~settings_file();

    settings_file(const settings_file &) = delete;
    settings_file &operator=(const settings_file &) = delete;

    /** @return the syntax error, or nothing */
    const std::optional<settings_error> &syntaxError() const;

    /** @return all keys of the file as SECTION.KEY, in the order of the file */
    const std::vector<std::string> &keys() const;

    /**
     * Looks up a value.
     * @param key SECTION.KEY
     * @return the value without surrounding white space, or nothing
     */
    std::optional<std::string> value(std::string_view key) const;

    /**
     * Creates an error with the line number of a key.
     * @param key SECTION.KEY
     * @param text error message
     */
    settings_error errorAt(std::string_view key, std::string text) const;

private:
    std::unique_ptr<detail::settings_file_private> d;
};

} // namespace teaselward
