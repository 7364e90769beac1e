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

/** An entry and an agent as processes on stand-ins of the users' platform: its store and one worker. */
class platform_deployment
{
public:
    /**
     * Starts the processes.
     * @param cpuMillis processors of the worker
     */
    explicit platform_deployment(std::uint32_t cpuMillis);
    ~platform_deployment();

    platform_deployment(const platform_deployment &) = delete;
    platform_deployment &operator=(const platform_deployment &) = delete;

    /** Publishes routes with the prefix /check/ and, if wanted, /extra/. @param version version of them @param extra whether /extra/ is there */
    void publish(std::uint64_t version, bool extra = false);

    /** Waits until the balancer may send clients. */
    void waitUntilReady() const;

    /** Waits until a job of one task is completed. */
    void waitUntilServing() const;

    /**
     * Waits until a path gets a status.
     * @param path the path
     * @param status the status
     * @return whether it came in time
     */
    bool waitForStatus(const std::string &path, long status) const;

    /** Starts the agent again after it has ended. */
    void restartAgent();

    /** @return URL of the client listener without a path */
    std::string frontUrl() const;

    /** @return address of the client listener as IP:PORT */
    const std::string &frontAddress() const;

    /** @return address of the readiness listener as IP:PORT */
    const std::string &readinessAddress() const;

    /** @return address of the agent for heartbeats and metrics as IP:PORT */
    const std::string &controlAddress() const;

    /** @return URL of the readiness check */
    std::string readinessUrl() const;

    child_process &entry();
    child_process &agent();
    worker_stub &worker();
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
