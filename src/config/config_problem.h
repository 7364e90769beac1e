#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** Reason for which a configuration file is invalid. */
struct config_problem {
    std::string file;
    std::size_t line = 0; ///< Line of the file, from 1; zero if the whole file is meant.
    std::string key; ///< Key or section header; empty if the line has none.
    std::string why;

    /** @return text for operators in the form "file:line: key: reason" */
    std::string text() const;
};

} // namespace teaselward
