#pragma once

#include "core/kind_pair.h"
#include "rpc/wire.capnp.h"

#include <vector>

namespace teaselward
{

/**
 * Writes pairs of kinds to a list in a message.
 * @param values the pairs
 * @param out list of the same size
 */
void encodePairs(const std::vector<kind_pair> &values, capnp::List<wire::KindPair>::Builder out);

/**
 * Reads pairs of kinds from a list in a message. A pair whose factor is no positive finite number is left out, other factors are
 * limited to 0.01 to 100.
 * @param in the list
 * @return the pairs
 * @throws kj::Exception if there are more than MaxKindPairs or the name of a kind is longer than MaxKindBytes
 */
std::vector<kind_pair> decodePairs(capnp::List<wire::KindPair>::Reader in);

} // namespace teaselward
