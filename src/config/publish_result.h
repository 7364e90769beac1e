#pragma once

#include "config/config_problem.h"

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>

namespace teaselward
{

/** Result of publishing a change. */
struct publish_result {
    std::error_code error; ///< No error if the change was accepted, otherwise an error of the configuration layer.
    std::uint64_t version = 0; ///< Current version of the file on the log, also after a conflict; zero if the file does not exist.
    std::string author; ///< Author of that version.
    std::optional<config_problem> problem; ///< Set if the file is invalid.
};

} // namespace teaselward
