#pragma once

#include "config/change_outcome.h"
#include "config/config_problem.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Result of applying one change. */
struct change_result {
    change_outcome outcome = change_outcome::ignored;
    std::uint64_t currentVersion = 0; ///< Version of the file after the change; zero if the file does not exist.
    std::string currentAuthor; ///< Author of that version.
    std::optional<config_problem> problem; ///< Set if the change is invalid.
};

} // namespace teaselward
