#pragma once

#include <system_error>

namespace teaselward
{

/** Errors of the platform layer. */
enum class platform_error {
    unavailable = 1, ///< The log cannot be reached or refused the request; nothing was appended.
    responseLost, ///< No whole answer came in time; an append may have taken effect.
    belowRetention, ///< The offset is below the lowest one that the log still keeps.
    tooLarge, ///< The record or the answer is above its limit.
    badResponse, ///< The answer breaks the protocol; an append may have taken effect.
    rejected, ///< The log found the request malformed; nothing was appended.
};

/** @return the category of the errors of the platform layer */
const std::error_category &platformCategory();

/**
 * Makes an error code; found by the conversion from platform_error.
 * @param error the error
 * @return its code in platformCategory()
 */
std::error_code make_error_code(platform_error error); // NOLINT(readability-identifier-naming): the standard library fixes the name

} // namespace teaselward

template<>
struct std::is_error_code_enum<teaselward::platform_error> : std::true_type {
};
