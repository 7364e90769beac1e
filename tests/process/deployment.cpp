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

// Longest wait for a condition; far above what a busy machine needs, so that no verdict depends on its speed.
constexpr int WaitSteps = 1200;
constexpr std::chrono::milliseconds WaitStep{50};

std::string program(const std::string &name)
{
    return (std::filesystem::path(Binary).parent_path() / name).string();
}

} // namespace

deployment::deployment(std::size_t entries, std::size_t agents, int delayMs)
    : m_folder(std::filesystem::temp_directory_path() / absl::StrCat("teaselward-", ::getpid(), "-", reinterpret_cast<std::uintptr_t>(this)))
    , m_logAddress(freeAddress())
{
    std::filesystem::create_directories(m_folder);
    m_log = std::make_unique<child_process>(std::vector<std::string>{program("platform_log_stub"), "--listen=" + m_logAddress});
    for (std::size_t i = 0; i < entries; ++i) {
        m_callers.push_back(freeAddress());
        m_operators.push_back(freeAddress());
        m_peers.push_back(freeAddress());
    }
    m_entries.resize(entries);
    for (std::size_t i = 0; i < entries; ++i) {
        startEntry(i);
    }
    for (std::size_t i = 0; i < agents; ++i) {
        m_endpointAddresses.push_back(freeAddress());
        m_endpoints.push_back(std::make_unique<child_process>(
            std::vector<std::string>{program("endpoint_stub"), "--listen=" + m_endpointAddresses[i], absl::StrCat("--delay_ms=", delayMs)}));
        startAgent(i);
    }
    const std::string file = write("10-kinds.ini", "[kind check]\nweight = 1\n");
    child_process publish({Binary, "config", "put", "--log=http://" + m_logAddress, file});
    if (publish.wait() != 0) {
        throw std::runtime_error("configuration was not accepted");
    }
    waitUntilReady(agents);
}

deployment::~deployment()
{
    std::filesystem::remove_all(m_folder);
}

std::string deployment::write(const std::string &name, const std::string &text) const
{
    const auto path = m_folder / name;
    std::ofstream(path) << text;
    return path.string();
}

void deployment::startEntry(std::size_t number)
{
    const std::string file = write(absl::StrCat("entry-", number, ".ini"),
                                   absl::StrCat("[process]\nrole = entry\nfailure_domain = fd-1\n[callers]\nlisten = ",
                                                m_callers[number],
                                                "\n[operators]\nlisten = ",
                                                m_operators[number],
                                                "\n[peers]\nlisten = ",
                                                m_peers[number],
                                                "\nentries = ",
                                                absl::StrJoin(m_peers, ", "),
                                                "\n[tickets]\nkey = a-secret-of-the-tests\n[log]\nurl = http://",
                                                m_logAddress,
                                                "\n"));
    m_entries[number] = std::make_unique<child_process>(std::vector<std::string>{Binary, "entry", "--settings=" + file});
}

void deployment::startAgent(std::size_t number)
{
    const std::string file = write(absl::StrCat("agent-", number, ".ini"),
                                   absl::StrCat("[process]\nrole = agent\nfailure_domain = fd-1\n[endpoint]\naddress = ",
                                                m_endpointAddresses[number],
                                                "\nkinds = check\nslots = 4\n[peers]\nentries = ",
                                                absl::StrJoin(m_peers, ", "),
                                                "\n"));
    m_agents.push_back(std::make_unique<child_process>(std::vector<std::string>{Binary, "agent", "--settings=" + file}));
}

void deployment::restartEntry(std::size_t number)
{
    m_entries.at(number).reset();
    startEntry(number);
}

child_process &deployment::entry(std::size_t number)
{
    return *m_entries.at(number);
}

child_process &deployment::agent(std::size_t number)
{
    return *m_agents.at(number);
}

std::string deployment::callers(std::size_t number) const
{
    return "http://" + m_callers.at(number);
}

std::string deployment::operators(std::size_t number) const
{
    return "http://" + m_operators.at(number);
}

std::string deployment::ticket(std::size_t number) const
{
    const auto reply = post(callers(number) + "/v1/tickets", {{"count", 1}});
    return reply.body.at("tickets").at(0).get<std::string>();
}

void deployment::waitUntilReady(std::size_t endpoints) const
{
    for (std::size_t number = 0; number < m_operators.size(); ++number) {
        for (int step = 0;; ++step) {
            const auto status = get(operators(number) + "/v1/status");
            std::size_t healthy = 0;
            if (status.status == 200 && get(operators(number) + "/readyz").status == 200) {
                for (const auto &endpoint : status.body.at("endpoints")) {
                    healthy += endpoint.at("health") == "healthy" ? 1 : 0;
                }
            }
            if (healthy >= endpoints) {
                break;
            }
            if (step == WaitSteps) {
                throw std::runtime_error("deployment is not ready");
            }
            std::this_thread::sleep_for(WaitStep);
        }
    }
}

} // namespace teaselward::testing
