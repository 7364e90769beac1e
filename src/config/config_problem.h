#pragma once

#include <cstddef>
#include <string>

namespace teaselward
{

/** Error that makes a configuration file invalid. */
struct config_problem {
    std::string file;
    std::size_t line = 0; ///< Line number, from 1; zero if the problem concerns the whole file.
    std::string key; ///< Key or section header; empty if there is none.
    std::string why;

    /** @return message for operators in the form "file:line: key: reason" */
    std::string text() const;
};

} // namespace teaselward
