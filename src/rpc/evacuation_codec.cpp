#include "rpc/evacuation_codec.h"

#include "core/evacuation_limits.h"
#include "rpc/text_codec.h"

#include <kj/debug.h>

#include <string>

namespace teaselward
{

namespace
{

std::string decodeDomain(capnp::Text::Reader name)
{
    KJ_REQUIRE(name.size() <= MaxDomainBytes, "the name of a failure domain is too long");
    return fromWireText(name);
}

} // namespace

void encode(const evacuation_state &value, wire::Evacuations::Builder out)
{
    out.setOffset(value.offset);
    auto domains = out.initFailureDomains(static_cast<unsigned>(value.failureDomains.size()));
    unsigned index = 0;
    for (const std::string &domain : value.failureDomains) {
        domains.set(index++, toWireText(domain));
    }
}

evacuation_state decode(wire::Evacuations::Reader in)
{
    const auto domains = in.getFailureDomains();
    KJ_REQUIRE(domains.size() <= MaxEvacuatedDomains, "too many failure domains");
    evacuation_state value;
    value.offset = in.getOffset();
    for (const auto domain : domains) {
        value.failureDomains.insert(decodeDomain(domain));
    }
    return value;
}

} // namespace teaselward
