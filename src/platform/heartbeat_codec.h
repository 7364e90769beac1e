#pragma once

#include "agent/run/endpoint_announcement.h"

#include <optional>
#include <string_view>

namespace teaselward
{

/**
 * Decodes a heartbeat of a worker.
 * @param id id of the worker
 * @param text body of the heartbeat
 * @param fault receives the name of the first malformed member, or what else is wrong; unchanged if the heartbeat is not malformed
 * @return the announcement, or std::nullopt if a member is missing, has the wrong type or has an unknown value
 */
std::optional<endpoint_announcement> decodeHeartbeat(std::string_view id, std::string_view text, std::string_view *fault = nullptr);

} // namespace teaselward
