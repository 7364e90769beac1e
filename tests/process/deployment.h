#pragma once

#include "process/child_process.h"

#include <cstddef>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

namespace teaselward::testing
{

/** Deployment of separate processes on loopback: a platform log stub, entries, and agents with one endpoint stub each. */
class deployment
{
public:
    /**
     * Starts all processes, publishes a configuration, and waits until every entry is ready and sees all endpoints as healthy.
     * @param entries number of entries
     * @param agents number of agents
     * @param taskRunTimeMs run time of every task in milliseconds
     * @throws std::runtime_error if a process does not start, or the deployment is not ready in time
     */
    deployment(std::size_t entries, std::size_t agents, int taskRunTimeMs);
    ~deployment();

    deployment(const deployment &) = delete;
    deployment &operator=(const deployment &) = delete;

    /** @return process of an entry */
    child_process &entry(std::size_t index);

    /** @return process of an agent */
    child_process &agent(std::size_t index);

    /** @return URL of an entry's listener for callers, without a path */
    std::string callerUrl(std::size_t index) const;

    /** @return URL of an entry's listener for operators, without a path */
    std::string operatorUrl(std::size_t index) const;

    /** @return a new ticket whose home is the entry */
    std::string ticket(std::size_t index) const;

    /** Kills an entry if it is still running, and starts it again. */
    void restartEntry(std::size_t index);

    /**
     * Waits until every entry is ready and reports enough healthy endpoints.
     * @param endpoints required number of healthy endpoints
     * @throws std::runtime_error on timeout
     */
    void waitUntilReady(std::size_t endpoints) const;

private:
    std::string writeFile(const std::string &name, const std::string &text) const;
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);

    std::filesystem::path m_directory;
    std::vector<std::string> m_callerAddresses;
    std::vector<std::string> m_operatorAddresses;
    std::vector<std::string> m_peerAddresses;
    std::string m_logAddress;
    std::unique_ptr<child_process> m_log;
    std::vector<std::unique_ptr<child_process>> m_entries;
    std::vector<std::unique_ptr<child_process>> m_endpoints;
    std::vector<std::unique_ptr<child_process>> m_agents;
    std::vector<std::string> m_endpointAddresses;
};

} // namespace teaselward::testing
