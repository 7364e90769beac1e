#pragma once

#include <cstdint>

namespace teaselward
{

/** Part of the program that writes a log line. Each has a fixed prefix. */
enum class log_part : std::uint8_t {
    route,
    place,
    admit,
    job,
    agent,
    member,
    config,
    platform,
    rpc,
    http,
    process,
};

} // namespace teaselward
