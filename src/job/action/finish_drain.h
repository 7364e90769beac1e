#pragma once

namespace teaselward
{

/** Reports that the drain is finished, so that the process can stop. */
struct finish_drain {
};

} // namespace teaselward
