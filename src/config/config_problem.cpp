#include "config/config_problem.h"

namespace teaselward
{

std::string config_problem::text() const
{
    std::string result = file;
    if (line != 0) {
        result += ':' + std::to_string(line);
    }
    if (!key.empty()) {
        result += ": " + key;
    }
    return result + ": " + why;
}

} // namespace teaselward
