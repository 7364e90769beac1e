#include "process/deployment.h"

#include "process/free_address.h"

#include "process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <fstream>
#include <set>
#include <stdexcept>
#include <thread>

namespace teaselward::testing
{

namespace
{

const std::string Binary = TEASELWARD_BINARY;

// Timeout of a wait: WaitSteps * WaitStep. It is far longer than a busy machine needs, so that no result depends on the machine's speed.
constexpr int WaitSteps = 1200;
constexpr std::chrono::milliseconds WaitStep{50};

std::string programPath(const std::string &name)
{
    return (std::filesystem::path(Binary).parent_path() / name).string();
}

} // namespace

deployment::deployment(std::size_t entries, std::size_t agents, int taskRunTimeMs)
    : m_directory(std::filesystem::temp_directory_path() / absl::StrCat("teaselward-", ::getpid(), "-", reinterpret_cast<std::uintptr_t>(this)))
    , m_logAddress(freeAddress())
{
    std::filesystem::create_directories(m_directory);
    m_log = std::make_unique<child_process>(std::vector<std::string>{programPath("platform_log_stub"), "--listen=" + m_logAddress});
    for (std::size_t i = 0; i < entries; ++i) {
        m_callerAddresses.push_back(freeAddress());
        m_operatorAddresses.push_back(freeAddress());
        m_peerAddresses.push_back(freeAddress());
    }
    m_entries.resize(entries);
    for (std::size_t i = 0; i < entries; ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < agents; ++i) {
        m_endpointAddresses.push_back(freeAddress());
        m_endpoints.push_back(std::make_unique<child_process>(
            std::vector<std::string>{programPath("endpoint_stub"), "--listen=" + m_endpointAddresses[i], absl::StrCat("--delay_ms=", taskRunTimeMs)}));
        startAgent(i);
    }
    const std::string file = writeFile("10-kinds.ini", "[kind check]\nweight = 1\n");
    child_process publish({Binary, "config", "put", "--log=http://" + m_logAddress, file});
    if (publish.wait() != 0) {
        throw std::runtime_error("the configuration was not accepted");
    }
    waitUntilReady(agents);
}

deployment::~deployment()
{
    std::filesystem::remove_all(m_directory);
}

std::string deployment::writeFile(const std::string &name, const std::string &text) const
{
    const auto path = m_directory / name;
    std::ofstream(path) << text;
    return path.string();
}

void deployment::startEntry(std::size_t index)
{
    const std::string file = writeFile(absl::StrCat("entry-", index, ".ini"),
                                       absl::StrCat("[process]\nrole = entry\nfailure_domain = fd-1\n[callers]\nlisten = ",
                                                    m_callerAddresses[index],
                                                    "\n[operators]\nlisten = ",
                                                    m_operatorAddresses[index],
                                                    "\n[peers]\nlisten = ",
                                                    m_peerAddresses[index],
                                                    "\nentries = ",
                                                    absl::StrJoin(m_peerAddresses, ", "),
                                                    "\n[tickets]\nkey = a-secret-of-the-tests\n[log]\nurl = http://",
                                                    m_logAddress,
                                                    "\n"));
    m_entries[index] = std::make_unique<child_process>(std::vector<std::string>{Binary, "entry", "--settings=" + file});
}

void deployment::startAgent(std::size_t index)
{
    const std::string file = writeFile(absl::StrCat("agent-", index, ".ini"),
                                       absl::StrCat("[process]\nrole = agent\nfailure_domain = fd-1\n[endpoint]\naddress = ",
                                                    m_endpointAddresses[index],
                                                    "\nkinds = check\nslots = 4\n[peers]\nentries = ",
                                                    absl::StrJoin(m_peerAddresses, ", "),
                                                    "\n"));
    m_agents.push_back(std::make_unique<child_process>(std::vector<std::string>{Binary, "agent", "--settings=" + file}));
}

void deployment::restartEntry(std::size_t index)
{
    m_entries.at(index).reset();
    startEntry(index);
}

child_process &deployment::entry(std::size_t index)
{
    return *m_entries.at(index);
}

child_process &deployment::agent(std::size_t index)
{
    return *m_agents.at(index);
}

std::string deployment::callerUrl(std::size_t index) const
{
    return "http://" + m_callerAddresses.at(index);
}

std::string deployment::operatorUrl(std::size_t index) const
{
    return "http://" + m_operatorAddresses.at(index);
}

std::string deployment::ticket(std::size_t index) const
{
    const auto reply = post(callerUrl(index) + "/v1/tickets", {{"count", 1}});
    return reply.body.at("tickets").at(0).get<std::string>();
}

void deployment::waitUntilReady(std::size_t endpoints) const
{
    for (std::size_t index = 0; index < m_operatorAddresses.size(); ++index) {
        for (int step = 0;; ++step) {
            const auto status = get(operatorUrl(index) + "/v1/status");
            std::size_t healthy = 0;
            if (status.status == 200 && get(operatorUrl(index) + "/readyz").status == 200) {
                for (const auto &endpoint : status.body.at("endpoints")) {
                    healthy += endpoint.at("health") == "healthy" ? 1 : 0;
                }
            }
            if (healthy >= endpoints) {
                break;
            }
            if (step == WaitSteps) {
                throw std::runtime_error("an entry was not ready in time, or had too few healthy endpoints");
            }
            std::this_thread::sleep_for(WaitStep);
        }
    }
}

} // namespace teaselward::testing
