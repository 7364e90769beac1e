#pragma once

#include "http.h"

#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <random>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <vector>

/** Stand-ins of the platform for review cases: its store, workers, and the processes of the system. */
namespace standin
{

using nlohmann::json;

/** Writes what happened to the record of a case, one line each, with the time since the start. */
class recorder
{
public:
    explicit recorder(const std::string &path)
        : m_out(path)
    {
    }

    void write(const std::string &line)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof time, "%10.4f ", std::chrono::duration<double>(clock::now() - m_start).count());
        m_out << time << line << std::endl;
    }

    double at(clock::time_point when) const
    {
        return std::chrono::duration<double>(when - m_start).count();
    }

private:
    std::ofstream m_out;
    const clock::time_point m_start = clock::now();
    std::mutex m_mutex;
};

inline std::string base64(const std::string &bytes)
{
    static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t value = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            value = value << 8U | (k < left ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= left ? digits[value >> (18 - 6 * k) & 63U] : '=';
        }
    }
    return text;
}

/** The platform's store: a log in partitions, as far as the system uses it. */
class store
{
public:
    store()
        : port(freePort())
        , m_server(port, [this](const request &item) {
            return handle(item);
        })
    {
    }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        m_parts["keyed.op/0"].push_back(static_cast<char>(key.size()) + key + value);
    }

    const int port;

private:
    static std::string number(std::uint64_t value, int bytes)
    {
        std::string text;
        for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
            text += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xFFU);
        }
        return text;
    }

    static std::string field(const std::string &path, const std::string &name)
    {
        const std::size_t query = path.find('?');
        std::size_t at = path.find(name + "=", query);
        if (query == std::string::npos || at == std::string::npos) {
            return "0";
        }
        at += name.size() + 1;
        return path.substr(at, path.find('&', at) - at);
    }

    response handle(const request &item)
    {
        const std::string part = field(item.path, "Topic") + "/" + field(item.path, "part");
        if (item.path.find("/teaselward/log-append") == 0) {
            const std::lock_guard lock(m_mutex);
            std::vector<std::string> &records = m_parts[part];
            const std::size_t first = records.size();
            for (std::size_t at = 0; at + 4 <= item.body.size();) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = size << 8U | static_cast<unsigned char>(item.body[at + static_cast<std::size_t>(i)]);
                }
                records.push_back(item.body.substr(at + 4, size));
                at += 4 + size;
            }
            return {200, json{{"Offset", first}, {"EndOffset", records.size()}}.dump()};
        }
        if (item.path.find("/teaselward/log-read") == 0) {
            const std::size_t from = std::stoul(field(item.path, "From"));
            const auto until = clock::now() + milliseconds(std::stoi(field(item.path, "WaitMs")));
            while (true) {
                {
                    const std::lock_guard lock(m_mutex);
                    const std::vector<std::string> &records = m_parts[part];
                    if (records.size() > from || clock::now() >= until) {
                        std::string body = number(records.size(), 8) + number(0, 8);
                        for (std::size_t i = from; i < records.size(); ++i) {
                            body += number(records[i].size(), 4) + records[i];
                        }
                        return {200, body, "application/octet-stream"};
                    }
                }
                std::this_thread::sleep_for(milliseconds(2));
            }
        }
        if (item.path.find("/teaselward/log-newest") == 0) {
            const std::lock_guard lock(m_mutex);
            const std::vector<std::string> &records = m_parts[part];
            std::map<std::string, std::size_t> newest;
            for (std::size_t i = 0; i < records.size(); ++i) {
                newest[records[i].substr(1, static_cast<unsigned char>(records[i][0]))] = i;
            }
            json items = json::array();
            for (const auto &[key, i] : newest) {
                items.push_back({{"Key", key}, {"Value", base64(records[i].substr(1 + key.size()))}, {"Offset", i}});
            }
            return {200, json{{"items", items}, {"HasMore", false}, {"EndOffset", records.size()}}.dump()};
        }
        return {404, ""};
    }

    std::mutex m_mutex;
    std::map<std::string, std::vector<std::string>> m_parts;
    server m_server;
};

/** One run of a task at a worker, from its start to its end. */
struct run_span {
    std::string task, worker, how;
    int attempt = 0;
    clock::time_point from, to;
    bool isOver = false;
};

/** All runs at all workers of a case. */
class run_history
{
public:
    std::size_t begin(const std::string &task, int attempt, const std::string &worker)
    {
        const std::lock_guard lock(m_mutex);
        m_spans.push_back({task, worker, "", attempt, clock::now(), {}, false});
        return m_spans.size() - 1;
    }

    void end(std::size_t index, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        m_spans[index].to = clock::now();
        m_spans[index].how = how;
        m_spans[index].isOver = true;
    }

    std::vector<run_span> spans() const
    {
        const std::lock_guard lock(m_mutex);
        return m_spans;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run_span> m_spans;
};

/**
 * A worker. Each life has a start time, a clock and counts of its own. It enforces lease, attempts and fencing tokens. A task runs for
 * the `ms` of its specification.
 */
class worker
{
public:
    worker(std::string name, int controlPort, int millis, run_history &runs, recorder &log)
        : id(std::move(name))
        , port(freePort())
        , control(controlPort)
        , m_capacity(millis)
        , m_history(runs)
        , m_log(log)
    {
    }

    ~worker()
    {
        m_ends = true;
        if (m_ticker.joinable()) {
            m_ticker.join();
        }
        if (m_beater.joinable()) {
            m_beater.join();
        }
        m_server.reset();
    }

    /** Starts the first life. */
    void start()
    {
        begin(milliseconds(0));
        m_server = std::make_unique<server>(port, [this](const request &item) {
            return handle(item);
        });
        m_ticker = std::thread([this] {
            while (!m_ends) {
                {
                    const std::lock_guard lock(m_mutex);
                    endDue();
                }
                std::this_thread::sleep_for(milliseconds(1));
            }
        });
        m_beater = std::thread([this] {
            while (!m_ends) {
                if (clock::now() >= m_nextBeat.load() && !m_isDark) {
                    m_nextBeat = clock::now() + beatInterval;
                    sendBeat();
                }
                std::this_thread::sleep_for(milliseconds(2));
            }
        });
    }

    /** Crashes: all runs end with it, and nothing is answered any more. */
    void crash()
    {
        m_isDark = true;
        m_server->setSilent(true);
        const std::lock_guard lock(m_mutex);
        for (auto &[task, run] : m_runs) {
            m_history.end(run.span, "crash");
        }
        m_runs.clear();
        m_log.write(id + " crashes");
    }

    /** Starts again at the same address and under the same id, and knows nothing of before. @param beatAfter time to the first heartbeat */
    void restart(milliseconds beatAfter)
    {
        m_server->resetAll();
        begin(beatAfter);
        m_server->setSilent(false);
        m_isDark = false;
        m_log.write(id + " has started again, born " + std::to_string(m_born));
    }

    /** Sends a heartbeat; returns the status of the response. */
    int sendBeat()
    {
        json body;
        {
            const std::lock_guard lock(m_mutex);
            body = {{"Service", service},
                    {"Address", "127.0.0.1:" + std::to_string(port)},
                    {"Zone", "zone-1"},
                    {"Version", "v1"},
                    {"Slots", 8},
                    {"State", isDraining ? "draining" : "ready"},
                    {"ColdRemainingMs", 0},
                    {"Capacity", {{"Cpu", m_capacity}, {"MemMb", 131072}, {"Gpu", 0}}},
                    {"Labels", {"a", "r1-1"}},
                    {"ClockMs", now()},
                    {"Sequence", ++m_sequence},
                    {"born", m_born}};
        }
        return call(control, "PUT", "/teaselward/instances/" + id, {{"Host", "127.0.0.1"}}, body.dump(), milliseconds(1000));
    }

    const std::string id;
    const int port;
    const int control;
    std::string service = "register";
    milliseconds beatInterval{1500};
    std::atomic<bool> isDraining{false};

private:
    struct active_run {
        int attempt = 0;
        clock::time_point begin, end;
        std::size_t span = 0;
    };

    void begin(milliseconds beatAfter)
    {
        const std::lock_guard lock(m_mutex);
        m_start = clock::now();
        m_born = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_sequence = 0;
        m_lastEnd = 0;
        m_fence = 0;
        m_leaseEnd = 0;
        m_ended.clear();
        m_highest.clear();
        m_nextBeat = clock::now() + beatAfter;
    }

    std::int64_t now() const
    {
        return 100000 + std::chrono::duration_cast<milliseconds>(clock::now() - m_start).count();
    }

    void endDue()
    {
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const bool isDone = it->second.end <= clock::now();
            if (isDone || m_leaseEnd <= now()) {
                const auto [task, run] = *it;
                it = m_runs.erase(it);
                finish(task, run, isDone ? "done" : "lapsed");
            } else {
                ++it;
            }
        }
    }

    void finish(const std::string &task, const active_run &run, const std::string &how)
    {
        m_history.end(run.span, how);
        m_ended.push_back(json::array({++m_lastEnd, task, run.attempt, how, ""}));
        m_highest[task] = std::max(m_highest[task], run.attempt);
        m_log.write(id + " " + task + "/" + std::to_string(run.attempt) + " ended " + how);
    }

    void extend(const json &body)
    {
        if (body.contains("DeadlineMs")) {
            m_leaseEnd = std::max(m_leaseEnd, std::min(body.at("DeadlineMs").get<std::int64_t>(), now() + 1000));
        }
    }

    // Carries an order out. Returns the status; `why` gets the reason of a refusal.
    int carryOut(const std::string &path, const json &body, std::string &why)
    {
        endDue();
        const auto token = body.value("FenceToken", std::uint64_t{0});
        if (token < m_fence) {
            why = "fence";
            return 409;
        }
        m_fence = token;
        if (path == "/teaselward/hold") {
            extend(body);
            return 200;
        }
        const std::string task = body.at("Task");
        const int attempt = body.at("Attempt");
        const auto found = m_runs.find(task);
        if (path == "/teaselward/run-stop") {
            if (found != m_runs.end() && found->second.attempt <= attempt) {
                const active_run run = found->second;
                m_runs.erase(found);
                finish(task, run, "stopped");
            }
            m_highest[task] = std::max(m_highest[task], attempt);
            return 200;
        }
        if (body.at("DeadlineMs").get<std::int64_t>() <= now()) {
            why = "late";
            return 409;
        }
        extend(body);
        if (found != m_runs.end() && found->second.attempt == attempt) {
            return 200;
        }
        if (found != m_runs.end() || attempt <= m_highest[task]) {
            why = "old";
            return 409;
        }
        const json spec = json::parse(body.at("Spec").get<std::string>());
        active_run run;
        run.attempt = attempt;
        run.begin = clock::now();
        run.end = run.begin + milliseconds(spec.at("ms").get<int>());
        run.span = m_history.begin(task, attempt, id + " born " + std::to_string(m_born));
        m_runs.emplace(task, run);
        m_log.write(id + " " + task + "/" + std::to_string(attempt) + " started");
        return 200;
    }

    response handle(const request &item)
    {
        const json body = json::parse(item.body);
        const auto expected = item.headers.find("expected-instance");
        if (expected != item.headers.end() && expected->second != id) {
            return {421, ""};
        }
        std::string why;
        int status = 0;
        {
            const std::lock_guard lock(m_mutex);
            status = carryOut(item.path, body, why);
        }
        json answer{{"ClockMs", 0}};
        if (!why.empty()) {
            answer["Reason"] = why;
        }
        if (item.path == "/teaselward/hold" && status == 200) {
            const auto until = clock::now() + milliseconds(body.value("WaitMs", 0));
            const auto cursor = body.value("AckCursor", std::uint64_t{0});
            std::unique_lock lock(m_mutex);
            while (!m_ended.empty() && m_ended.front().at(0).get<std::uint64_t>() <= cursor) {
                m_ended.pop_front();
            }
            while (m_ended.empty() && clock::now() < until && !m_isDark) {
                lock.unlock();
                std::this_thread::sleep_for(milliseconds(1));
                lock.lock();
                endDue();
            }
            answer["born"] = m_born;
            answer["Running"] = json::array();
            for (const auto &[task, run] : m_runs) {
                const auto percent = 100 * (clock::now() - run.begin) / std::max<clock::duration>(run.end - run.begin, milliseconds(1));
                answer["Running"].push_back(json::array({task, run.attempt, "", percent, 1000}));
            }
            answer["Finished"] = json::array();
            for (std::size_t i = 0; i < std::min<std::size_t>(500, m_ended.size()); ++i) {
                answer["Finished"].push_back(m_ended[i]);
            }
            answer["ClockMs"] = now();
        } else {
            const std::lock_guard lock(m_mutex);
            answer["ClockMs"] = now();
        }
        return {status, answer.dump()};
    }

    const int m_capacity;
    run_history &m_history;
    recorder &m_log;
    std::mutex m_mutex;
    clock::time_point m_start;
    std::int64_t m_born = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastEnd = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseEnd = 0;
    std::map<std::string, active_run> m_runs;
    std::deque<json> m_ended;
    std::map<std::string, int> m_highest;
    std::atomic<bool> m_isDark{false};
    std::atomic<bool> m_ends{false};
    std::atomic<clock::time_point> m_nextBeat{clock::time_point{}};
    std::unique_ptr<server> m_server;
    std::thread m_ticker;
    std::thread m_beater;
};

/** A process of the system, started with a settings file as the deploy file says. */
class process
{
public:
    process(std::string program, std::string roleName, std::string settingsPath, std::string logPath)
        : m_program(std::move(program))
        , m_role(std::move(roleName))
        , m_settings(std::move(settingsPath))
        , m_output(std::move(logPath))
    {
        start();
    }

    ~process()
    {
        if (m_id > 0) {
            signal(SIGCONT);
            kill();
        }
    }

    void start()
    {
        m_id = ::fork();
        if (m_id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // Also ends if the case is killed.
            const int out = ::open(m_output.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("TEASELWARD_SETTINGS", m_settings.c_str(), 1);
            ::execl(m_program.c_str(), m_program.c_str(), m_role.c_str(), nullptr);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        ::kill(m_id, number);
    }

    void kill()
    {
        signal(SIGKILL);
        ::waitpid(m_id, nullptr, 0);
        m_id = 0;
    }

    /** Returns the status of waitpid() once the process has ended. */
    std::optional<int> ended()
    {
        int status = 0;
        if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
            m_id = 0;
            return status;
        }
        return std::nullopt;
    }

private:
    std::string m_program, m_role, m_settings, m_output;
    pid_t m_id = 0;
};

/** Routes as the operator writes them; each row is the prefix and the service. */
inline std::string configText(std::uint64_t version, const std::vector<std::pair<std::string, std::string>> &routes)
{
    json rows = json::array();
    json services = json::array();
    std::set<std::string> named;
    for (const auto &[prefix, service] : routes) {
        rows.push_back({{"Name", "r-" + prefix},
                        {"Host", "desk.example"},
                        {"PathPrefix", "/" + prefix + "/"},
                        {"Type", "non_idempotent"},
                        {"TimeoutMs", 1500},
                        {"TargetCompletionMs", 60},
                        {"Priority", 0},
                        {"Service", service},
                        {"Attempts", 4},
                        {"Stretch", 1.6}});
        if (named.insert(service).second) {
            services.push_back(
                {{"Name", service}, {"HealthPath", "/health"}, {"MaxConns", 64}, {"Protocol", "h1"}, {"Tls", false}, {"EnforcesCapacity", false}, {"Spare", false}});
        }
    }
    const json limits{{"MaxHeaderBytes", 16384}, {"MaxBodyBytes", 262144}, {"HeaderTimeoutMs", 3000}, {"IdleTimeoutMs", 15000}};
    return json{{"Version", version}, {"Routes", rows}, {"Services", services}, {"Limits", limits}}.dump();
}

struct entry_ports {
    int peers = 0, front = 0, readiness = 0;
};

/** A small deployment: store, entries, and an agent with a worker each. Settings follow the templates of the deploy file. */
class deployment
{
public:
    deployment(std::string programPath, std::size_t entryCount, std::size_t workerCount, int cpuMillis, recorder &log)
        : record(log)
        , m_program(std::move(programPath))
    {
        std::string path = std::filesystem::temp_directory_path() / "teaselward-review-XXXXXX";
        if (::mkdtemp(path.data()) == nullptr || ::access(m_program.c_str(), X_OK) != 0) {
            throw std::runtime_error("the program or the temporary folder is missing");
        }
        directory = path;
        for (std::size_t i = 0; i < entryCount; ++i) {
            ports.push_back({freePort(), freePort(), freePort()});
            m_seeds += (i == 0 ? "" : i < 3 ? "," : "") + (i < 3 ? "127.0.0.1:" + std::to_string(ports[i].peers) : std::string());
        }
        for (std::size_t i = 0; i < workerCount; ++i) {
            workers.push_back(std::make_unique<worker>("i-" + std::to_string(1000 + i), freePort(), cpuMillis, runs, record));
        }
    }

    ~deployment()
    {
        entries.clear();
        agents.clear();
        workers.clear();
        const std::string command = "rm -rf '" + directory + "'";
        if (std::getenv("KEEP_LOGS") == nullptr && std::system(command.c_str()) != 0) {
            record.write("cannot remove " + directory);
        }
    }

    /** Starts everything with the given configuration and waits until each entry has served a job. */
    void start(const std::string &config, const std::string &prefix)
    {
        state.put("config", config);
        for (std::size_t i = 0; i < ports.size(); ++i) {
            entries.push_back(std::make_unique<process>(
                m_program,
                "entry",
                file("entry-" + std::to_string(i) + ".ini",
                     "[process]\nrole = entry\nfailure_domain = zone-1\n[callers]\nlisten = 127.0.0.1:0\n[tickets]\nkey = tickets-of-edge-zone-1-" + std::to_string(i)
                         + "\nlifetime = 60s\n[peers]\nlisten = " + local(ports[i].peers) + "\nentries = " + m_seeds
                         + "\nlease = 600ms\nheartbeat = 200ms\n[drain]\naccept = 3s\nbound = 2400ms\n[platform]\nstore = " + local(state.port)
                         + "\nfront = " + local(ports[i].front) + "\nreadiness = " + local(ports[i].readiness) + "\n"),
                directory + "/entry-" + std::to_string(i) + ".log"));
        }
        for (std::size_t i = 0; i < workers.size(); ++i) {
            agents.push_back(std::make_unique<process>(m_program,
                                                       "agent",
                                                       file("agent-" + std::to_string(i) + ".ini",
                                                            "[process]\nrole = agent\nfailure_domain = zone-1\n[endpoint]\naddress = " + local(workers[i]->port)
                                                                + "\n[peers]\nentries = " + m_seeds
                                                                + "\nlease = 600ms\nheartbeat = 200ms\nreconnect_limit = 200ms\nsessions = 8\n[drain]\nbound = 5s\n[platform]\ncontrol = "
                                                                + local(workers[i]->control) + "\nservice = " + workers[i]->service + "\n"),
                                                       directory + "/agent-" + std::to_string(i) + ".log"));
        }
        std::this_thread::sleep_for(milliseconds(300));
        for (const auto &one : workers) {
            one->start();
        }
        const auto until = clock::now() + std::chrono::seconds(10);
        for (std::size_t served = 0; served < ports.size();) {
            if (clock::now() > until) {
                throw std::runtime_error("the deployment did not start");
            }
            served = 0;
            for (std::size_t i = 0; i < ports.size(); ++i) {
                served += submit(i, prefix, newId(), 1, 1, 1000, milliseconds(1500)) == 200 ? 1 : 0;
            }
            std::this_thread::sleep_for(milliseconds(50));
        }
        std::this_thread::sleep_for(milliseconds(500));
        record.write("the deployment serves");
    }

    std::string newId()
    {
        const std::lock_guard lock(m_mutex);
        char text[17];
        std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(m_random()));
        return text;
    }

    /** Hands a best-effort job in and waits for its response. Returns the status, or 0 without a response. */
    int submit(std::size_t entry, const std::string &prefix, const std::string &id, int tasks, int millis, int cpu, milliseconds deadline)
    {
        const json body{{"Spec", json{{"ms", millis}}.dump()},
                        {"BestEffort", true},
                        {"Steps", json::array({{{"Count", tasks}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", millis}}})}};
        record.write("client sends " + id + " to entry " + std::to_string(entry) + " tasks " + std::to_string(tasks) + " ms " + std::to_string(millis));
        const int status = call(ports[entry].front,
                                "POST",
                                "/" + prefix + "/" + id,
                                {{"Host", "desk.example"}, {"Deadline-Ms", std::to_string(deadline.count())}},
                                body.dump(),
                                deadline + milliseconds(500));
        record.write("client gets " + std::to_string(status) + " for " + id);
        return status;
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
    std::string m_seeds;
    std::mutex m_mutex;
    std::mt19937_64 m_random{std::random_device{}()};
};

/** Counts the pairs of runs of one task that overlap by more than a millisecond, and writes them to the record. */
inline int countOverlaps(const run_history &runs, recorder &log)
{
    std::map<std::string, std::vector<run_span>> byTask;
    for (run_span span : runs.spans()) {
        span.to = span.isOver ? span.to : clock::now();
        byTask[span.task].push_back(std::move(span));
    }
    int found = 0;
    for (const auto &[task, spans] : byTask) {
        for (std::size_t i = 0; i < spans.size(); ++i) {
            for (std::size_t k = i + 1; k < spans.size(); ++k) {
                const auto overlap = std::min(spans[i].to, spans[k].to) - std::max(spans[i].from, spans[k].from);
                if (overlap > milliseconds(1)) {
                    ++found;
                    char text[96];
                    std::snprintf(text, sizeof text, " at the same time for %.1f ms, from %.4f on: ", std::chrono::duration<double, std::milli>(overlap).count(), log.at(std::max(spans[i].from, spans[k].from)));
                    log.write("TWICE " + task + text + spans[i].worker + " (" + spans[i].how + "), " + spans[k].worker + " (" + spans[k].how + ")");
                }
            }
        }
    }
    return found;
}

} // namespace standin
