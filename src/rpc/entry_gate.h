#pragma once

#include "rpc/entry_rpc_context.h"
#include "rpc/welcome.h"
#include "rpc/wire.capnp.h"

#include <cstdint>
#include <string_view>

namespace teaselward
{

/** Bootstrap capability of one accepted connection: checks the version and starts the session. */
class entry_gate : public wire::EntryGate::Server
{
public:
    /**
     * Creates the capability of one connection.
     * @param context state that all sessions share
     * @param link number of the connection
     */
    entry_gate(entry_rpc_context &context, std::uint64_t link);

    kj::Promise<void> registerAgent(RegisterAgentContext call) override;
    kj::Promise<void> greet(GreetContext call) override;

private:
    rpc_link &unregisteredLink() const;
    bool checkVersion(std::uint32_t version, std::string_view from, const std::string &address);
    welcome makeWelcome(bool isAccepted) const;

    entry_rpc_context &m_context;
    std::uint64_t m_link;
};

} // namespace teaselward
