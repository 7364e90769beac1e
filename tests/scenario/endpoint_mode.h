#pragma once

#include <cstdint>

namespace teaselward::testing
{

/** Behaviour of a fake endpoint. */
enum class endpoint_mode : std::uint8_t {
    ok, ///< Runs each task for the time in its payload.
    fail, ///< Reports failure at once.
    refuse, ///< Refuses the connection.
    silent, ///< Runs the task and never answers.
};

} // namespace teaselward::testing
