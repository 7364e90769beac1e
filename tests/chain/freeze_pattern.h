#pragma once

namespace teaselward
{

/** Freeze of an entry in a chain_simulation. */
struct freeze_pattern {
    bool isLoaded = false; ///< The entry has outstanding starts when it freezes.
    bool isListenerLate = false; ///< The listener's thread goes on hundreds of milliseconds after the others.
    bool isRpcLate = false; ///< The same for the RPC thread.
};

} // namespace teaselward
