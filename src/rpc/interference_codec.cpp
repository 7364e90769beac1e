#include "rpc/interference_codec.h"

#include "rpc/factor_codec.h"
#include "rpc/rpc_limits.h"
#include "rpc/text_codec.h"

#include <kj/debug.h>

#include <utility>

namespace teaselward
{

namespace
{

kind_pair decodePair(wire::KindPair::Reader in)
{
    KJ_REQUIRE(in.getSlowed().size() <= MaxKindBytes && in.getSlowing().size() <= MaxKindBytes, "the name of a kind is too long");
    return {.slowed = fromWireText(in.getSlowed()), .slowing = fromWireText(in.getSlowing()), .factor = fromWireFactor(in.getFactor()), .runs = in.getRuns()};
}

} // namespace

void encodePairs(const std::vector<kind_pair> &values, capnp::List<wire::KindPair>::Builder out)
{
    unsigned index = 0;
    for (const kind_pair &value : values) {
        out[index].setSlowed(toWireText(value.slowed));
        out[index].setSlowing(toWireText(value.slowing));
        out[index].setFactor(value.factor);
        out[index].setRuns(value.runs);
        ++index;
    }
}

std::vector<kind_pair> decodePairs(capnp::List<wire::KindPair>::Reader in)
{
    KJ_REQUIRE(in.size() <= MaxKindPairs, "too many pairs of kinds", in.size());
    std::vector<kind_pair> values;
    values.reserve(in.size());
    for (const auto pair : in) {
        kind_pair value = decodePair(pair);
        if (value.factor > 0) {
            values.push_back(std::move(value));
        }
    }
    return values;
}

} // namespace teaselward
