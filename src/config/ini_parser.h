#pragma once

#include "config/config_problem.h"
#include "config/ini_section.h"

#include <optional>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Splits a configuration file into sections. Comments are whole lines that start with '#' or ';'.
 * @param file name of the file, for the problem
 * @param text content of the file
 * @param sections set to the sections in the order of the file
 * @return nothing, or the first line that breaks the format, repeats a section or repeats a key of its section
 */
std::optional<config_problem> parseIni(std::string_view file, std::string_view text, std::vector<ini_section> &sections);

} // namespace teaselward
