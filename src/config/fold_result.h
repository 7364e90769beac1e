#pragma once

#include "config/config_problem.h"
#include "config/fold_outcome.h"

#include <cstdint>
#include <optional>
#include <string>

namespace teaselward
{

/** Outcome of folding one change. */
struct fold_result {
    fold_outcome outcome = fold_outcome::ignored;
    std::uint64_t currentVersion = 0; ///< Version of the file afterwards; zero if it is absent.
    std::string currentAuthor; ///< Author of that version.
    std::optional<config_problem> problem; ///< Set if the change is invalid.
};

} // namespace teaselward
