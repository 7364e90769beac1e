#pragma once

#include <system_error>

namespace teaselward
{

/** Errors of the configuration layer. */
enum class config_error {
    logUnavailable = 1, ///< The platform log does not answer; nothing was published.
    logRejected, ///< The platform log rejects the requests as malformed; the address or the stream is wrong.
    recordTooLarge, ///< The record exceeds the size limit of the platform log.
    outcomeUnknown, ///< The change may have been published, but could not be read back.
    conflict, ///< The base version was not the current one.
    invalid, ///< The file is not valid.
    absent, ///< The file does not exist.
};

/** @return the category of the errors of the configuration layer */
const std::error_category &configCategory();

/**
 * Creates an error code. The conversion from config_error finds this function by argument-dependent lookup.
 * @param error the error
 * @return its code in configCategory()
 */
std::error_code make_error_code(config_error error); // NOLINT(readability-identifier-naming): name required by the standard library

/**
 * Converts an error of the platform layer.
 * @param error no error or an error in platformCategory()
 * @return no error or an error in configCategory()
 */
std::error_code configErrorFromPlatform(std::error_code error);

} // namespace teaselward

template<>
struct std::is_error_code_enum<teaselward::config_error> : std::true_type {
};
