#include "proc/local_system.h"

#include "config/change_record.h"
#include "config/record_codec.h"
#include "platform/memory_platform_log.h"
#include "proc/agent_process.h"
#include "proc/entry_process.h"
#include "proc/local_endpoint.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <system_error>

namespace teaselward
{

namespace
{

constexpr std::string_view Stream = "teaselward-config";
constexpr std::string_view KindFileText = "[kind echo]\nweight = 1\nidempotent = yes\n";

// Finds a free port for the connection between the entry and the agent. The settings of both need its number in advance.
std::string freeLoopbackAddress()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    const bool bound = descriptor >= 0 && ::bind(descriptor, generic, size) == 0 && ::getsockname(descriptor, generic, &size) == 0;
    ::close(descriptor);
    if (!bound) {
        throw std::system_error(std::make_error_code(std::errc::address_not_available), "loopback port");
    }
    return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

entry_settings entrySettings(const std::string &listen, const std::string &peers)
{
    entry_settings settings;
    settings.role = "entry";
    settings.failureDomain = "local";
    settings.callersListen = listen;
    settings.peersListen = peers;
    settings.ticketKey = "only used inside of this process";
    settings.logStream = Stream;
    return settings;
}

agent_settings agentSettings(const std::string &endpoint, const std::string &peers)
{
    agent_settings settings;
    settings.role = "agent";
    settings.failureDomain = "local";
    settings.endpointAddress = endpoint;
    settings.kinds = {"echo"};
    settings.entries = {peers};
    return settings;
}

} // namespace

namespace detail
{

class local_system_private
{
public:
    local_system_private(const std::string &listen, logger &log)
        : peers(freeLoopbackAddress())
        , entry(entrySettings(listen, peers), platform, log)
        , agent(agentSettings(endpoint.address(), peers), log)
    {
        publishKind();
    }

    void publishKind()
    {
        constexpr std::chrono::seconds timeout{1};
        change_record change;
        change.file = "10-echo.ini";
        change.content = KindFileText;
        change.appendId = "local";
        change.author = "local";
        std::uint64_t offset = 0;
        platform.append(Stream, encodeRecord(change), timeout, offset);
    }

    memory_platform_log platform;
    local_endpoint endpoint;
    std::string peers;
    entry_process entry;
    agent_process agent;
};

} // namespace detail

local_system::local_system(const std::string &listen, logger &log)
    : d(std::make_unique<detail::local_system_private>(listen, log))
{
}

local_system::~local_system() = default;

void local_system::requestStop()
{
    d->entry.requestStop();
}

// The entry drains first, because the agent must still run the tasks of the entry's jobs.
void local_system::waitForStop()
{
    d->entry.waitForStop();
    d->agent.requestStop();
    d->agent.waitForStop();
}

} // namespace teaselward
