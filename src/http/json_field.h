#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teaselward
{

/** Field that a JSON object may have, and the member that receives its value. */
template<typename T>
struct json_field {
    std::string_view name;
    bool required = false;
    std::variant<std::string T::*, std::uint64_t T::*, bool T::*, std::vector<std::string> T::*> member;
};

} // namespace teaselward
