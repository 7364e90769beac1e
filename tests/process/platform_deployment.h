#pragma once

#include "process/child_process.h"
#include "support/log_server.h"
#include "support/worker_stub.h"

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace teaselward::testing
{

/** One entry and one agent as separate processes, with stubs of the users' platform: its log (the store) and one worker. */
class platform_deployment
{
public:
    /**
     * Starts the processes and the stubs.
     * @param cpuMillis CPU capacity of the worker in thousandths of a core
     * @throws std::runtime_error if a process or a stub does not start
     */
    explicit platform_deployment(std::uint32_t cpuMillis);
    ~platform_deployment();

    platform_deployment(const platform_deployment &) = delete;
    platform_deployment &operator=(const platform_deployment &) = delete;

    /**
     * Publishes a route with the prefix /check/ and optionally one with the prefix /extra/.
     * @param version version of the routes
     * @param extra true to include /extra/
     * @throws std::runtime_error if the append fails
     */
    void publish(std::uint64_t version, bool extra = false);

    /** Waits until the readiness check returns 200. @throws std::runtime_error on timeout */
    void waitUntilReady() const;

    /** Sends jobs with one task until one is completed. @throws std::runtime_error on timeout */
    void waitUntilServing() const;

    /**
     * Sends GET requests for a path until the response has a given status.
     * @param path the path
     * @param status expected HTTP status
     * @return false on timeout
     */
    bool waitForStatus(const std::string &path, long status) const;

    /** Kills the agent if it is still running, and starts it again. */
    void restartAgent();

    /** @return URL of the client listener without a path */
    std::string frontUrl() const;

    /** @return address of the client listener as IP:PORT */
    const std::string &frontAddress() const;

    /** @return address of the readiness listener as IP:PORT */
    const std::string &readinessAddress() const;

    /** @return address on which the agent receives heartbeats and serves metrics, as IP:PORT */
    const std::string &controlAddress() const;

    /** @return URL of the readiness check */
    std::string readinessUrl() const;

    /** @return process of the entry */
    child_process &entry();

    /** @return process of the agent */
    child_process &agent();

    /** @return the worker stub */
    worker_stub &worker();

    /** @return the stub of the platform log */
    log_server &store();

private:
    std::string writeFile(const std::string &name, const std::string &text) const;

    std::filesystem::path m_directory;
    std::string m_frontAddress;
    std::string m_readinessAddress;
    std::string m_peerAddress;
    std::string m_controlAddress;
    std::string m_workerAddress;
    std::string m_agentSettings;
    log_server m_store;
    std::unique_ptr<child_process> m_entry;
    std::unique_ptr<child_process> m_agent;
    std::unique_ptr<worker_stub> m_worker;
};

} // namespace teaselward::testing
