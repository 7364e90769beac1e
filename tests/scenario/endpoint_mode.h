#pragma once

#include <cstdint>

namespace teaselward::testing
{

/** Behaviour of a fake endpoint. */
enum class endpoint_mode : std::uint8_t {
    ok, ///< Runs each task for the run time that its payload states.
    fail, ///< Fails each task immediately.
    refuse, ///< Refuses the connection.
    silent, ///< Starts the task and never answers.
};

} // namespace teaselward::testing
