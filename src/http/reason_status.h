#pragma once

#include "core/reason.h"

namespace teaselward
{

/**
 * Maps a reason to the HTTP status of its response.
 * @param why reason of a refusal or failure, or none
 * @return HTTP status, 200 for none
 */
unsigned reasonStatus(reason why);

} // namespace teaselward
