#pragma once

#include "settings/setting_format.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teaselward
{

/** Member of a settings struct that a key sets. */
template<typename Settings>
using setting_member = std::
    variant<std::string Settings::*, std::vector<std::string> Settings::*, std::chrono::milliseconds Settings::*, std::uint32_t Settings::*, bool Settings::*>;

/** Row of a settings table. The range applies to durations (in milliseconds) and to numbers. */
template<typename Settings>
struct setting_spec {
    std::string_view key; ///< SECTION.KEY.
    setting_format format = setting_format::text;
    setting_member<Settings> member;
    bool required = false;
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view help;
};

} // namespace teaselward
