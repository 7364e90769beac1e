#pragma once

#include <stdexcept>

namespace teaselward::testing
{

/** Failed expectation or invalid call in a scenario script. */
class script_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace teaselward::testing
