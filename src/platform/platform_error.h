#pragma once

#include <system_error>

namespace teaselward
{

/** Errors of the platform layer. */
enum class platform_error {
    unavailable = 1, ///< The log cannot be reached or refused the request; nothing was appended.
    responseLost, ///< No complete response arrived in time; an append may have taken effect.
    belowRetention, ///< The offset is below the lowest retained one.
    tooLarge, ///< The record or the response exceeds its limit.
    badResponse, ///< The response violates the protocol; an append may have taken effect.
    rejected, ///< The log rejected the request as malformed; nothing was appended.
};

/** @return the category of the errors of the platform layer */
const std::error_category &platformCategory();

/**
 * Makes an error code. The implicit conversion from platform_error to std::error_code calls it.
 * @param error the error
 * @return its code in platformCategory()
 */
std::error_code make_error_code(platform_error error); // NOLINT(readability-identifier-naming): the standard library fixes the name

} // namespace teaselward

template<>
struct std::is_error_code_enum<teaselward::platform_error> : std::true_type {
};
