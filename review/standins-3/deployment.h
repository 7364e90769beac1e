#pragma once

#include "../standins/platform.h"

/** A small deployment with the settings of the deploy file's templates, and clients whose connections can be reset. */
namespace review3
{

using namespace standin;

/** A client's connection with one job on it. */
class client_connection
{
public:
    client_connection(int port, const std::string &text)
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = loopback(port);
        if (m_fd < 0 || ::connect(m_fd, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0 || !sendAll(m_fd, text)) {
            throw std::runtime_error("cannot send a job");
        }
    }

    client_connection(const client_connection &) = delete;
    client_connection &operator=(const client_connection &) = delete;

    ~client_connection()
    {
        reset();
    }

    /** Resets the connection, at both ends. */
    void reset()
    {
        if (m_fd >= 0) {
            closeWithReset(m_fd);
            m_fd = -1;
        }
    }

    /** Waits for the response. Returns its status, or 0 without one; `body` gets its body. */
    int wait(clock::time_point until, std::string &body) const
    {
        std::string first;
        std::map<std::string, std::string> headers;
        return m_fd >= 0 && reader(m_fd).read(first, headers, body, until) && first.size() > 11 ? std::stoi(first.substr(9, 3)) : 0;
    }

private:
    int m_fd;
};

/** Store, entries, and an agent with a worker each. */
class small_deployment
{
public:
    small_deployment(std::string programPath, std::size_t entryCount, std::size_t workerCount, int cpuMillis, recorder &log)
        : record(log)
        , m_program(std::move(programPath))
    {
        std::string path = std::filesystem::temp_directory_path() / "teaselward-review-XXXXXX";
        if (::access(m_program.c_str(), X_OK) != 0 || ::mkdtemp(path.data()) == nullptr) {
            throw std::runtime_error("the program or the temporary folder is missing");
        }
        directory = path;
        for (std::size_t i = 0; i < entryCount; ++i) {
            ports.push_back({freePort(), freePort(), freePort()});
            m_seeds += (i == 0 ? "" : ",") + local(ports[i].peers);
        }
        for (std::size_t i = 0; i < workerCount; ++i) {
            workers.push_back(std::make_unique<worker>("i-" + std::to_string(1000 + i), freePort(), cpuMillis, runs, record));
        }
    }

    ~small_deployment()
    {
        entries.clear();
        agents.clear();
        workers.clear();
        if (std::getenv("KEEP_LOGS") == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(directory, ignored);
        }
    }

    /** Starts everything with the given configuration and waits until each entry serves. */
    void start(const std::string &config, const std::string &prefix)
    {
        m_prefix = prefix;
        state.put("config", config);
        for (std::size_t i = 0; i < ports.size(); ++i) {
            entries.push_back(std::make_unique<process>(
                m_program,
                "entry",
                file("entry-" + std::to_string(i) + ".ini",
                     "[process]\nrole = entry\nfailure_domain = zone-1\n[callers]\nlisten = 127.0.0.1:0\n[tickets]\nkey = tickets-of-edge-zone-1-" + std::to_string(i + 1)
                         + "\nlifetime = 60s\n[peers]\nlisten = " + local(ports[i].peers) + "\nentries = " + m_seeds
                         + "\nlease = 600ms\nheartbeat = 200ms\n[drain]\naccept = 3s\nbound = 2400ms\n[platform]\nstore = " + local(state.port)
                         + "\nfront = " + local(ports[i].front) + "\nreadiness = " + local(ports[i].readiness)
                         + "\n[placement]\nstartup_wait = 2s\nstrategy = speed\n"),
                directory + "/entry-" + std::to_string(i) + ".log"));
        }
        for (std::size_t i = 0; i < workers.size(); ++i) {
            agents.push_back(std::make_unique<process>(
                m_program,
                "agent",
                file("agent-" + std::to_string(i) + ".ini",
                     "[process]\nrole = agent\nfailure_domain = zone-1\n[endpoint]\naddress = " + local(workers[i]->port) + "\nexact_slots = yes\n[peers]\nentries = "
                         + m_seeds + "\nlease = 600ms\nheartbeat = 200ms\nreconnect_limit = 200ms\nsessions = 8\n[drain]\nbound = 5s\n[platform]\ncontrol = "
                         + local(workers[i]->control) + "\nservice = " + workers[i]->service + "\n"),
                directory + "/agent-" + std::to_string(i) + ".log"));
        }
        std::this_thread::sleep_for(milliseconds(300));
        for (const auto &one : workers) {
            one->start();
        }
        for (std::size_t i = 0; i < ports.size(); ++i) {
            if (!waitUntilServed(i, std::chrono::seconds(10))) {
                throw std::runtime_error("the deployment did not start");
            }
        }
        record.write("the deployment serves");
    }

    /** Sends short jobs to an entry until one is completed. */
    bool waitUntilServed(std::size_t entry, milliseconds limit)
    {
        const auto until = clock::now() + limit;
        while (clock::now() < until) {
            std::string body;
            if (send(entry, newId(), 1, 1, 100, milliseconds(1500))->wait(clock::now() + milliseconds(2000), body) == 200) {
                return true;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
        return false;
    }

    /** Hands a best-effort job in on a new connection. */
    std::unique_ptr<client_connection> send(std::size_t entry, const std::string &id, int tasks, int millis, int cpu, milliseconds deadline)
    {
        const std::string body = json{{"Spec", json{{"ms", millis}}.dump()},
                                      {"BestEffort", true},
                                      {"Steps", json::array({{{"Count", tasks}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", millis}}})}}
                                     .dump();
        record.write("client sends " + id + " to entry " + std::to_string(entry) + ", tasks " + std::to_string(tasks) + ", ms " + std::to_string(millis));
        return std::make_unique<client_connection>(ports[entry].front,
                                                   "POST /" + m_prefix + "/" + id + " HTTP/1.1\r\nHost: desk.example\r\nDeadline-Ms: " + std::to_string(deadline.count())
                                                       + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::string newId()
    {
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
        return text;
    }

    /** @return the runs of a job */
    std::vector<run_span> runsOf(const std::string &id) const
    {
        std::vector<run_span> found;
        for (const run_span &span : runs.spans()) {
            if (span.task.compare(0, id.size(), id) == 0) {
                found.push_back(span);
            }
        }
        return found;
    }

    /** @return the number of the worker at which a run took place */
    std::size_t workerOf(const run_span &span) const
    {
        return std::stoul(span.worker.substr(2)) - 1000;
    }

    recorder &record;
    std::string directory;
    store state;
    run_history runs;
    std::vector<entry_ports> ports;
    std::vector<std::unique_ptr<worker>> workers;
    std::vector<std::unique_ptr<process>> entries;
    std::vector<std::unique_ptr<process>> agents;

private:
    static std::string local(int port)
    {
        return "127.0.0.1:" + std::to_string(port);
    }

    std::string file(const std::string &name, const std::string &text) const
    {
        std::ofstream(directory + "/" + name) << text;
        return directory + "/" + name;
    }

    const std::string m_program;
    std::string m_prefix;
    std::string m_seeds;
    std::mt19937_64 m_random{std::random_device{}()};
};

} // namespace review3
