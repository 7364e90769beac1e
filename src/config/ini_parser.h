#pragma once

#include "config/config_problem.h"
#include "config/ini_section.h"

#include <optional>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Splits a configuration file into sections. Lines that start with '#' or ';' are comments.
 * @param file name of the file, for error messages
 * @param text content of the file
 * @param sections set to the sections in the order of the file
 * @return nothing, or the problem of the first line that is malformed, repeats a section or repeats a key of its section
 */
std::optional<config_problem> parseIni(std::string_view file, std::string_view text, std::vector<ini_section> &sections);

} // namespace teaselward
