#include "process/platform_deployment.h"

#include "platform/platform_log_codec.h"
#include "process/free_address.h"
#include "process/http_caller.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace teaselward::testing
{

namespace
{

// Timeout of a wait: WaitSteps * WaitStep. It is far longer than a busy machine needs, so that no result depends on the machine's speed.
constexpr int WaitSteps = 600;
constexpr std::chrono::milliseconds WaitStep{50};

nlohmann::json routeTo(const std::string &prefix)
{
    return {{"Name", "r-" + prefix},
            {"Host", "127.0.0.1"},
            {"PathPrefix", "/" + prefix + "/"},
            {"Type", "non_idempotent"},
            {"TimeoutMs", 5000},
            {"TargetCompletionMs", 60000},
            {"Priority", 0},
            {"Service", "register"},
            {"Attempts", 4},
            {"Stretch", 1.6}};
}

} // namespace

platform_deployment::platform_deployment(std::uint32_t cpuMillis)
    : m_directory(std::filesystem::temp_directory_path() / absl::StrCat("teaselward-platform-", ::getpid(), "-", reinterpret_cast<std::uintptr_t>(this)))
    , m_frontAddress(freeAddress())
    , m_readinessAddress(freeAddress())
    , m_peerAddress(freeAddress())
    , m_controlAddress(freeAddress())
    , m_workerAddress(freeAddress())
{
    std::filesystem::create_directories(m_directory);
    const std::string entrySettings = writeFile(
        "entry.ini",
        absl::StrCat(
            "[process]\nrole = entry\nfailure_domain = fd-1\n[callers]\nlisten = 127.0.0.1:0\n[tickets]\nkey = a-secret-of-the-tests\n[peers]\nlisten = ",
            m_peerAddress,
            "\nlease = 2s\nheartbeat = 200ms\n[drain]\naccept = 500ms\nbound = 5s\n[platform]\nstore = ",
            m_store.address(),
            "\nfront = ",
            m_frontAddress,
            "\nreadiness = ",
            m_readinessAddress,
            "\n"));
    m_agentSettings = writeFile("agent.ini",
                                absl::StrCat("[process]\nrole = agent\nfailure_domain = fd-1\n[endpoint]\naddress = ",
                                             m_workerAddress,
                                             "\n[peers]\nentries = ",
                                             m_peerAddress,
                                             "\nlease = 2s\nheartbeat = 200ms\nreconnect_limit = 200ms\n[platform]\ncontrol = ",
                                             m_controlAddress,
                                             "\nservice = register\n"));
    m_entry = std::make_unique<child_process>(std::vector<std::string>{TEASELWARD_BINARY, "entry", "--settings=" + entrySettings});
    restartAgent();
    m_worker = std::make_unique<worker_stub>(m_workerAddress, m_controlAddress, cpuMillis);
}

platform_deployment::~platform_deployment()
{
    std::filesystem::remove_all(m_directory);
}

std::string platform_deployment::writeFile(const std::string &name, const std::string &text) const
{
    const auto path = m_directory / name;
    std::ofstream(path) << text;
    return path.string();
}

void platform_deployment::publish(std::uint64_t version, bool extra)
{
    nlohmann::json routes = nlohmann::json::array({routeTo("check")});
    if (extra) {
        routes.push_back(routeTo("extra"));
    }
    const nlohmann::json config{{"Version", version}, {"Routes", routes}, {"Services", nlohmann::json::array()}};
    std::uint64_t offset = 0;
    if (m_store.log().append("keyed.op", encodeKeyedRecord({.key = "config", .value = config.dump(), .offset = 0}), std::chrono::seconds(1), offset)) {
        throw std::runtime_error("the platform log refused the routes");
    }
}

void platform_deployment::restartAgent()
{
    m_agent.reset();
    m_agent = std::make_unique<child_process>(std::vector<std::string>{TEASELWARD_BINARY, "agent", "--settings=" + m_agentSettings});
}

bool platform_deployment::waitForStatus(const std::string &path, long status) const
{
    for (int step = 0; step < WaitSteps; ++step) {
        if (get(frontUrl() + path).status == status) {
            return true;
        }
        std::this_thread::sleep_for(WaitStep);
    }
    return false;
}

void platform_deployment::waitUntilReady() const
{
    for (int step = 0; step < WaitSteps; ++step) {
        if (get(readinessUrl()).status == 200) {
            return;
        }
        std::this_thread::sleep_for(WaitStep);
    }
    throw std::runtime_error("the entry was not ready in time");
}

void platform_deployment::waitUntilServing() const
{
    const nlohmann::json job{{"Spec", R"({"ms":1,"cpu":1000})"}, {"BestEffort", true}, {"Steps", {{{"Count", 1}, {"Cpu", 1000}, {"MemMb", 1}}}}};
    for (int step = 0; step < WaitSteps; ++step) {
        if (post(frontUrl() + absl::StrCat("/check/", absl::Hex(0xA000000000000000ULL + static_cast<std::uint64_t>(step))), job, std::chrono::seconds(10))
                .status
            == 200) {
            return;
        }
        std::this_thread::sleep_for(WaitStep);
    }
    throw std::runtime_error("no job was completed in time");
}

std::string platform_deployment::frontUrl() const
{
    return "http://" + m_frontAddress;
}

const std::string &platform_deployment::frontAddress() const
{
    return m_frontAddress;
}

const std::string &platform_deployment::controlAddress() const
{
    return m_controlAddress;
}

const std::string &platform_deployment::readinessAddress() const
{
    return m_readinessAddress;
}

std::string platform_deployment::readinessUrl() const
{
    return "http://" + m_readinessAddress + "/teaselward/ready";
}

child_process &platform_deployment::entry()
{
    return *m_entry;
}

child_process &platform_deployment::agent()
{
    return *m_agent;
}

worker_stub &platform_deployment::worker()
{
    return *m_worker;
}

log_server &platform_deployment::store()
{
    return m_store;
}

} // namespace teaselward::testing
