#pragma once

#include <system_error>

namespace teaselward
{

/** Errors of the HTTP interfaces. */
enum class http_error {
    badAddress = 1, ///< The address is not IP:PORT.
    listenFailed, ///< The listener cannot be opened.
    tokenMissing, ///< The operators' listener has no token and its address is not a loopback address.
    ticketKeyMissing, ///< No secret is set for the tickets.
    clientFailed, ///< The HTTP client cannot be set up.
};

/** @return the category of the errors of the HTTP interfaces */
const std::error_category &httpCategory();

/**
 * Makes an error code. The implicit conversion from http_error to std::error_code calls it.
 * @param value the error
 * @return its code in httpCategory()
 */
// NOLINTNEXTLINE(readability-identifier-naming): the standard library looks for this name.
std::error_code make_error_code(http_error value);

} // namespace teaselward

template<>
struct std::is_error_code_enum<teaselward::http_error> : std::true_type {
};
