#pragma once

#include "cli/subcommand.h"

#include <span>

namespace teaselward
{

/** @return the table of all subcommands in the order of the help text */
std::span<const subcommand> subcommands();

} // namespace teaselward
