// Stand-ins for the scripts of the review: the platform's store, workers, clients, and the programs of the deploy file as separate
// processes. Everything listens on loopback addresses and uses the real clock.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review
{

using nlohmann::json;
using steady = std::chrono::steady_clock;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Limits of the pages that the stand-ins keep.
constexpr milliseconds HeartbeatInterval{1500};
constexpr milliseconds HoldMax{1000};
constexpr milliseconds Retransmit{1300};

/** Writes record.txt: one line for each thing that was sent, answered or run, with milliseconds since the start of the script. */
class record
{
public:
    explicit record(const std::string &path)
        : m_out(path)
        , m_start(steady::now())
    {
    }

    long long now() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - m_start).count();
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_out << now() << " ms: " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    steady::time_point m_start;
};

struct http_message {
    std::string first; ///< Request line or status line.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    int status() const
    {
        const auto space = first.find(' ');
        return space == std::string::npos ? 0 : std::atoi(first.c_str() + space + 1);
    }
};

/** Reads from a socket until a whole message is there. Returns std::nullopt if the connection ends or the time is over. */
inline std::optional<http_message> readMessage(int fd, std::string &buffer, steady::time_point until)
{
    http_message found;
    std::size_t head = std::string::npos;
    std::size_t length = 0;
    while (true) {
        if (head == std::string::npos) {
            head = buffer.find("\r\n\r\n");
            if (head != std::string::npos) {
                std::istringstream lines(buffer.substr(0, head));
                std::getline(lines, found.first);
                std::string one;
                while (std::getline(lines, one)) {
                    const auto colon = one.find(':');
                    if (colon == std::string::npos) {
                        continue;
                    }
                    std::string name = one.substr(0, colon);
                    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
                        return static_cast<char>(std::tolower(c));
                    });
                    std::string value = one.substr(colon + 1);
                    value.erase(0, value.find_first_not_of(' '));
                    value.erase(value.find_last_not_of("\r ") + 1);
                    found.headers[name] = value;
                }
                length = found.headers.count("content-length") ? std::stoul(found.headers["content-length"]) : 0;
            }
        }
        if (head != std::string::npos && buffer.size() >= head + 4 + length) {
            found.body = buffer.substr(head + 4, length);
            buffer.erase(0, head + 4 + length);
            return found;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(until - steady::now()).count();
        if (left <= 0) {
            return std::nullopt;
        }
        pollfd one{fd, POLLIN, 0};
        if (::poll(&one, 1, static_cast<int>(std::min<long long>(left, 100))) <= 0) {
            continue;
        }
        char data[16384];
        const ssize_t size = ::recv(fd, data, sizeof data, 0);
        if (size <= 0) {
            return std::nullopt;
        }
        buffer.append(data, static_cast<std::size_t>(size));
    }
}

inline bool sendAll(int fd, const std::string &text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline sockaddr_in socketAddress(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/** Returns a port that is free now. Each port is returned once. */
inline int freePort()
{
    static std::vector<int> used;
    while (true) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = socketAddress(0);
        socklen_t size = sizeof address;
        ::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof address);
        ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
        ::close(fd);
        const int port = ntohs(address.sin_port);
        if (std::find(used.begin(), used.end(), port) == used.end()) {
            used.push_back(port);
            return port;
        }
    }
}

inline std::string addressOf(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

inline int connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = socketAddress(port);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/** Small HTTP server: one thread for each connection. A handler that returns std::nullopt closes the connection without a response. */
class http_server
{
public:
    struct response {
        int status = 200;
        std::string body = "{}";
        std::string type = "application/json";
    };
    using handler = std::function<std::optional<response>(const http_message &)>;

    http_server(int port, handler handle)
        : m_handle(std::move(handle))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = socketAddress(port);
        if (::bind(m_fd, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 || ::listen(m_fd, 128) != 0) {
            std::perror("listen");
            std::exit(2);
        }
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                std::thread([this, fd] {
                    serve(fd);
                }).detach();
            }
        }).detach();
    }

private:
    void serve(int fd)
    {
        std::string buffer;
        while (auto request = readMessage(fd, buffer, steady::now() + 300s)) {
            const auto answer = m_handle(*request);
            if (!answer) {
                break;
            }
            if (!sendAll(fd,
                         "HTTP/1.1 " + std::to_string(answer->status) + " X\r\nContent-Type: " + answer->type
                             + "\r\nContent-Length: " + std::to_string(answer->body.size()) + "\r\n\r\n" + answer->body)) {
                break;
            }
        }
        ::close(fd);
    }

    int m_fd = -1;
    handler m_handle;
};

inline std::string bigEndian(std::uint64_t value, int bytes)
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text.push_back(static_cast<char>(value >> (8 * i)));
    }
    return text;
}

inline std::string base64(const std::string &data)
{
    static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < data.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = (group << 8) | (i + k < data.size() ? static_cast<unsigned char>(data[i + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(i + k <= data.size() ? digits[(group >> (18 - 6 * k)) & 63] : '=');
        }
    }
    return text;
}

inline std::string queryValue(const std::string &requestLine, const std::string &name)
{
    const auto question = requestLine.find('?');
    if (question == std::string::npos) {
        return {};
    }
    std::string query = requestLine.substr(question + 1, requestLine.find(' ', question) - question - 1);
    std::istringstream parts(query);
    std::string part;
    while (std::getline(parts, part, '&')) {
        if (part.rfind(name + "=", 0) == 0) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

/** The platform's store: topics in memory, reads that wait, newest records of keyed topics. It loses nothing. */
class store
{
public:
    store()
        : m_port(freePort())
        , m_server(m_port, [this](const http_message &request) {
            return handle(request);
        })
    {
    }

    int port() const
    {
        return m_port;
    }

    /** Sets the newest configuration, as the operator does. */
    void publish(const json &config)
    {
        const std::string value = config.dump();
        std::string record = bigEndian(6, 1) + "config" + value;
        const std::lock_guard lock(m_mutex);
        m_topics["keyed.op/0"].push_back(record);
        m_changed.notify_all();
    }

private:
    std::optional<http_server::response> handle(const http_message &request)
    {
        const std::string key = queryValue(request.first, "Topic") + "/" + queryValue(request.first, "part");
        if (request.first.find("/teaselward/log-append") != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            auto &records = m_topics[key];
            const std::size_t first = records.size();
            std::size_t at = 0;
            while (at + 4 <= request.body.size()) {
                std::uint32_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = (size << 8) | static_cast<unsigned char>(request.body[at + static_cast<std::size_t>(i)]);
                }
                records.push_back(request.body.substr(at + 4, size));
                at += 4 + size;
            }
            m_changed.notify_all();
            return http_server::response{200, json{{"Offset", first}, {"EndOffset", records.size()}}.dump()};
        }
        if (request.first.find("/teaselward/log-newest") != std::string::npos) {
            const std::lock_guard lock(m_mutex);
            const auto &records = m_topics[key];
            std::map<std::string, json> newest;
            for (std::size_t i = 0; i < records.size(); ++i) {
                const std::size_t size = static_cast<unsigned char>(records[i].at(0));
                const std::string name = records[i].substr(1, size);
                const std::string value = records[i].substr(1 + size);
                newest.erase(name);
                if (!value.empty()) {
                    newest[name] = {{"Key", name}, {"Value", base64(value)}, {"Offset", i}};
                }
            }
            json items = json::array();
            for (const auto &[name, item] : newest) {
                items.push_back(item);
            }
            return http_server::response{200, json{{"items", items}, {"HasMore", false}, {"EndOffset", records.size()}}.dump()};
        }
        if (request.first.find("/teaselward/log-read") != std::string::npos) {
            const std::size_t from = std::strtoull(queryValue(request.first, "From").c_str(), nullptr, 10);
            const milliseconds wait(std::atoi(queryValue(request.first, "WaitMs").c_str()));
            std::unique_lock lock(m_mutex);
            const auto &records = m_topics[key];
            m_changed.wait_for(lock, wait, [&] {
                return records.size() > from;
            });
            std::string body = bigEndian(records.size(), 8) + bigEndian(0, 8);
            for (std::size_t i = from; i < records.size(); ++i) {
                body += bigEndian(records[i].size(), 4) + records[i];
            }
            return http_server::response{200, body, "application/octet-stream"};
        }
        return http_server::response{404, "{}"};
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::vector<std::string>> m_topics;
    int m_port;
    http_server m_server;
};

/** A run of a task as a worker has seen it. */
struct run_seen {
    std::string worker;
    std::string task;
    std::string spec;
    int attempt = 0;
    long long from = 0;
    long long to = -1; ///< -1 while the task is at work.
    std::string how;
};

/** All runs of all workers. */
class run_book
{
public:
    std::size_t begin(const run_seen &run)
    {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
        return m_runs.size() - 1;
    }

    void end(std::size_t index, long long at, const std::string &how)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[index].to = at;
        m_runs[index].how = how;
    }

    std::vector<run_seen> all() const
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<run_seen> m_runs;
};

/** A worker as the pages describe it: lease, fencing token, attempts, list of ends, heartbeats to the agent of its machine. */
class worker
{
public:
    worker(std::string name, int port, int agentPort, record &output, run_book &book)
        : m_name(std::move(name))
        , m_port(port)
        , m_agentPort(agentPort)
        , m_record(output)
        , m_book(book)
        , m_birth(steady::now() - 5s)
        , m_born(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() - 5000)
        , m_server(port, [this](const http_message &request) {
            return handle(request);
        })
    {
        std::thread([this] {
            beat();
        }).detach();
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(2ms);
                const std::lock_guard lock(m_mutex);
                work();
            }
        }).detach();
    }

    const std::string &name() const
    {
        return m_name;
    }

    /** From now on each order for which this returns a delay gets no answer and is carried out that much later. */
    void setLate(std::function<milliseconds(const std::string &path, const json &body)> late)
    {
        const std::lock_guard lock(m_mutex);
        m_late = std::move(late);
    }

    int agentPort() const
    {
        return m_agentPort;
    }

    /** What the worker says of itself in a heartbeat, without its sequence number. */
    json announcement() const
    {
        json body{{"Service", "register"},
                  {"Address", addressOf(m_port)},
                  {"Zone", "zone-a"},
                  {"Version", "v1"},
                  {"Slots", 8},
                  {"State", m_draining ? "draining" : "ready"},
                  {"ColdRemainingMs", 0},
                  {"Capacity", {{"Cpu", 32000}, {"MemMb", 131072}, {"Gpu", 0}}},
                  {"Labels", json::array({"a", "r1-1"})},
                  {"ClockMs", clock()},
                  {"born", m_born}};
        if (m_draining) {
            body["RemainingMs"] = 10000;
        }
        return body;
    }

    /** Announces 'draining' at once and from now on. Returns the status of the answer. */
    int drain()
    {
        m_draining = true;
        return sendBeat();
    }

    int sendBeat()
    {
        const int fd = connectTo(m_agentPort);
        if (fd < 0) {
            return 0;
        }
        json body = announcement();
        body["Sequence"] = ++m_sequence;
        const std::string text = body.dump();
        sendAll(fd,
                "PUT /teaselward/instances/" + m_name + " HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\nContent-Length: "
                    + std::to_string(text.size()) + "\r\n\r\n" + text);
        std::string buffer;
        const auto answer = readMessage(fd, buffer, steady::now() + 1s);
        ::close(fd);
        return answer ? answer->status() : 0;
    }

private:
    struct run {
        int attempt = 0;
        steady::time_point begin;
        milliseconds length{};
        std::size_t entry = 0;
    };

    long long clock() const
    {
        return std::chrono::duration_cast<milliseconds>(steady::now() - m_birth).count();
    }

    void beat()
    {
        while (true) {
            sendBeat();
            std::this_thread::sleep_for(HeartbeatInterval);
        }
    }

    // Ends the runs that are done or whose lease has lapsed.
    void work()
    {
        const auto now = steady::now();
        for (auto it = m_runs.begin(); it != m_runs.end();) {
            const bool isDone = it->second.begin + it->second.length <= now;
            if (isDone || m_leaseEnd <= clock()) {
                const auto done = it++;
                finish(done, isDone ? "done" : "lapsed");
            } else {
                ++it;
            }
        }
    }

    void finish(std::map<std::string, run>::iterator it, const std::string &how)
    {
        const auto &[task, one] = *it;
        m_record.line("worker " + m_name + ": " + task + " run " + std::to_string(one.attempt) + " ended: " + how);
        m_book.end(one.entry, m_record.now(), how);
        m_ended.push_back(json::array({++m_endNumber, task, one.attempt, how, ""}));
        m_highest[task] = std::max(m_highest[task], one.attempt);
        m_runs.erase(it);
        m_changed.notify_all();
    }

    void extend(const json &body)
    {
        if (body.contains("DeadlineMs")) {
            m_leaseEnd = std::max(m_leaseEnd, std::min(body["DeadlineMs"].get<long long>(), clock() + HoldMax.count()));
        }
    }

    http_server::response answer(int status, json body) const
    {
        body["ClockMs"] = clock();
        body["born"] = m_born;
        return {status, body.dump()};
    }

    std::optional<http_server::response> handle(const http_message &request)
    {
        const auto begin = request.first.find(' ') + 1;
        const std::string path = request.first.substr(begin, request.first.find(' ', begin) - begin);
        const json body = json::parse(request.body, nullptr, false);
        std::unique_lock lock(m_mutex);
        const auto intended = request.headers.find("expected-instance");
        if (intended != request.headers.end() && intended->second != m_name) {
            return answer(421, json::object());
        }
        if (m_late) {
            const milliseconds delay = m_late(path, body);
            if (delay.count() > 0) {
                m_record.line("worker " + m_name + ": leaves unanswered, to be carried out in " + std::to_string(delay.count()) + " ms: " + path + " "
                              + body.dump());
                std::thread([this, path, body, delay] {
                    std::this_thread::sleep_for(delay);
                    std::unique_lock later(m_mutex);
                    m_record.line("worker " + m_name + ": now carries out " + path + " " + body.dump());
                    const auto result = carryOut(path, body, later);
                    m_record.line("worker " + m_name + ": result " + std::to_string(result.status) + " " + result.body);
                }).detach();
                return std::nullopt;
            }
        }
        return carryOut(path, body, lock);
    }

    http_server::response carryOut(const std::string &path, const json &body, std::unique_lock<std::mutex> &lock)
    {
        work();
        const std::uint64_t token = body.value("FenceToken", std::uint64_t{0});
        if (token < m_token) {
            return answer(409, {{"Reason", "fence"}});
        }
        m_token = token;
        if (path == "/teaselward/run-start") {
            return start(body);
        }
        if (path == "/teaselward/run-stop") {
            const std::string task = body.at("Task");
            const int attempt = body.at("Attempt");
            const auto found = m_runs.find(task);
            if (found != m_runs.end() && found->second.attempt == attempt) {
                finish(found, "stopped");
            }
            m_highest[task] = std::max(m_highest[task], attempt);
            return answer(200, json::object());
        }
        if (path == "/teaselward/hold") {
            extend(body);
            const auto cursor = body.value("AckCursor", std::uint64_t{0});
            std::erase_if(m_ended, [cursor](const json &row) {
                return row[0].get<std::uint64_t>() <= cursor;
            });
            m_changed.wait_for(lock, milliseconds(body.value("WaitMs", 0)), [this] {
                return !m_ended.empty();
            });
            work();
            json running = json::array();
            for (const auto &[task, one] : m_runs) {
                const auto percent = 100 * (steady::now() - one.begin) / std::max<steady::duration>(one.length, 1ms);
                running.push_back(json::array({task, one.attempt, "", percent, 3000}));
            }
            return answer(200, {{"Running", running}, {"Finished", m_ended}});
        }
        return answer(400, json::object());
    }

    http_server::response start(const json &body)
    {
        const std::string task = body.at("Task");
        const int attempt = body.at("Attempt");
        const long long wanted = body.value("DeadlineMs", 0LL);
        if (wanted <= clock()) {
            return answer(409, {{"Reason", "late"}});
        }
        extend(body);
        const auto found = m_runs.find(task);
        if (found != m_runs.end() && found->second.attempt == attempt) {
            return answer(200, json::object());
        }
        if (attempt <= m_highest[task] || found != m_runs.end()) {
            return answer(409, {{"Reason", "old"}});
        }
        run one;
        one.attempt = attempt;
        one.begin = steady::now();
        const json spec = json::parse(body.at("Spec").get<std::string>());
        one.length = milliseconds(spec.at("ms").get<int>());
        one.entry = m_book.begin({m_name, task, body.at("Spec"), attempt, m_record.now(), -1, ""});
        m_runs[task] = one;
        m_record.line("worker " + m_name + ": " + task + " run " + std::to_string(attempt) + " started");
        return answer(200, json::object());
    }

    std::string m_name;
    int m_port;
    int m_agentPort;
    record &m_record;
    run_book &m_book;
    steady::time_point m_birth;
    long long m_born;
    std::atomic<bool> m_draining{false};
    std::atomic<std::uint64_t> m_sequence{0};
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::function<milliseconds(const std::string &, const json &)> m_late;
    std::map<std::string, run> m_runs;
    std::map<std::string, int> m_highest;
    std::vector<json> m_ended;
    std::uint64_t m_endNumber = 0;
    std::uint64_t m_token = 0;
    long long m_leaseEnd = 0;
    http_server m_server;
};

/** A program of the deploy file that runs as a separate process. */
class process
{
public:
    process(std::string role, std::string settings, std::string log)
        : m_role(std::move(role))
        , m_settings(std::move(settings))
        , m_log(std::move(log))
    {
        start();
    }

    ~process()
    {
        signal(SIGCONT);
        signal(SIGKILL);
        wait();
    }

    process(const process &) = delete;
    process &operator=(const process &) = delete;

    void start()
    {
        m_pid = ::fork();
        if (m_pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No program outlives the script.
            const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("TEASELWARD_SETTINGS", m_settings.c_str(), 1);
            ::execl("target/teaselward", "target/teaselward", m_role.c_str(), nullptr);
            ::_exit(127);
        }
    }

    void signal(int number) const
    {
        if (m_pid > 0) {
            ::kill(m_pid, number);
        }
    }

    int wait()
    {
        int status = 0;
        if (m_pid > 0) {
            ::waitpid(m_pid, &status, 0);
            m_pid = -1;
        }
        return status;
    }

    bool isAlive() const
    {
        return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
    }

private:
    std::string m_role;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = -1;
};

/** Ports of an entry. */
struct entry_ports {
    int front = freePort();
    int ready = freePort();
    int control = freePort();
};

/** Fills in a template of the deploy folder as the platform does, for the placeholders that it uses. */
inline std::string fill(std::string text, const std::map<std::string, std::string> &values)
{
    for (const auto &[name, value] : values) {
        const std::string mark = "{{" + name + "}}";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark, at + value.size())) {
            text.replace(at, mark.size(), value);
        }
    }
    if (text.find("{{") != std::string::npos) {
        std::fprintf(stderr, "a placeholder of the template is not known:\n%s\n", text.c_str());
        std::exit(2);
    }
    return text;
}

inline std::string readFile(const std::string &path)
{
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/** What a client has got for a request. Status 0: no response in time or the connection was broken. */
struct reply {
    int status = 0;
    std::string body;
};

inline reply request(int port, const std::string &method, const std::string &path, const std::string &body, milliseconds limit, bool hasDeadline = true)
{
    const int fd = connectTo(port);
    if (fd < 0) {
        return {};
    }
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nContent-Type: application/json\r\n";
    if (hasDeadline) {
        text += "Deadline-Ms: " + std::to_string(limit.count()) + "\r\n";
    }
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    reply found;
    if (sendAll(fd, text)) {
        std::string buffer;
        if (const auto answer = readMessage(fd, buffer, steady::now() + limit)) {
            found = {answer->status(), answer->body};
        }
    }
    ::close(fd);
    return found;
}

/** A job that needn't be kept, of one step. */
inline std::string jobBody(int tasks, int ms)
{
    return json{{"Spec", json{{"ms", ms}}.dump()}, {"BestEffort", true}, {"Steps", {{{"Count", tasks}, {"Cpu", 3100}, {"MemMb", 64}, {"EstimateMs", ms}}}}}
        .dump();
}

/** A small deployment: a store, entries, and workers with their agents, with the settings of the deploy folder. */
class deployment
{
public:
    deployment(int entries, int workers, record &output)
        : m_record(output)
        , m_folder(std::filesystem::temp_directory_path() / ("teaselward-review-" + std::to_string(::getpid())))
    {
        std::filesystem::create_directories(m_folder);
        ports.resize(static_cast<std::size_t>(entries));
        std::string seeds;
        for (std::size_t i = 0; i < ports.size() && i < 3; ++i) {
            seeds += (i > 0 ? "," : "") + addressOf(ports[i].control);
        }
        data.publish(config(1));
        for (std::size_t i = 0; i < ports.size(); ++i) {
            const std::string name = "edge-" + std::to_string(i + 1);
            const std::string settings = write(name,
                                               fill(readFile("deploy/entry.ini.in"),
                                                    {{"Zone", "zone-a"},
                                                     {"Node", name},
                                                     {"BindAddresses.ControlPlane", addressOf(ports[i].control)},
                                                     {"Seeds", seeds},
                                                     {"platform.Address", addressOf(data.port())},
                                                     {"BindAddresses.Frontend", addressOf(ports[i].front)},
                                                     {"BindAddresses.Readiness", addressOf(ports[i].ready)}}));
            entry.push_back(std::make_unique<process>("entry", settings, (m_folder / (name + ".log")).string()));
        }
        for (int i = 0; i < workers; ++i) {
            const std::string name = "side-" + std::to_string(i + 1);
            const int app = freePort();
            const int control = freePort();
            const std::string settings = write(name,
                                               fill(readFile("deploy/agent.ini.in"),
                                                    {{"Zone", "zone-a"},
                                                     {"app", addressOf(app)},
                                                     {"Seeds", seeds},
                                                     {"BindAddresses.ControlPlane", addressOf(control)},
                                                     {"Service", "register"}}));
            agent.push_back(std::make_unique<process>("agent", settings, (m_folder / (name + ".log")).string()));
            site.push_back(std::make_unique<worker>("i-" + std::to_string(i + 1), app, control, output, book));
        }
    }

    /**
     * Ends all processes and removes the temporary folder. The stand-ins go on in their threads until the script ends, so a deployment
     * is never destroyed.
     */
    void end()
    {
        agent.clear();
        entry.clear();
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(m_folder);
        }
    }

    static json config(int version, int timeoutMs = 1500)
    {
        const auto route = [timeoutMs](const char *name, const char *prefix, int priority) {
            return json{{"Name", name},
                        {"Host", "desk.example"},
                        {"PathPrefix", prefix},
                        {"Type", "non_idempotent"},
                        {"TimeoutMs", timeoutMs},
                        {"TargetCompletionMs", 60},
                        {"Priority", priority},
                        {"Service", "register"},
                        {"Attempts", 4},
                        {"Stretch", 1.6}};
        };
        return {{"Version", version},
                {"Routes", json::array({route("r-order", "/order/", 2), route("r-check", "/check/", 0)})},
                {"Services",
                 json::array({{{"Name", "register"}, {"HealthPath", "/health"}, {"MaxConns", 64}, {"Protocol", "h1"}, {"EnforcesCapacity", false}, {"Spare", false}}})}};
    }

    bool isReady(std::size_t index) const
    {
        return request(ports[index].ready, "GET", "/teaselward/ready", "", 1s, false).status == 200;
    }

    /** Waits until each entry is ready and serves jobs. Returns false if that takes longer than 30 s. */
    bool waitUntilServing()
    {
        const auto until = steady::now() + 30s;
        int number = 0;
        for (std::size_t i = 0; i < entry.size(); ++i) {
            int served = 0;
            while (served < 5) {
                if (steady::now() > until) {
                    return false;
                }
                char id[32];
                std::snprintf(id, sizeof id, "/check/aaaa%012x", ++number);
                served = isReady(i) && request(ports[i].front, "POST", id, jobBody(4, 20), 1500ms).status == 200 ? served + 1 : 0;
                std::this_thread::sleep_for(50ms);
            }
        }
        std::this_thread::sleep_for(2s); // Traffic starts well after the machines.
        m_record.line("all entries serve jobs");
        return true;
    }

private:
    std::string write(const std::string &name, const std::string &text) const
    {
        const auto path = m_folder / (name + ".ini");
        std::ofstream(path) << text;
        return path.string();
    }

    record &m_record;
    std::filesystem::path m_folder;

public:
    run_book book;
    store data;
    std::vector<entry_ports> ports;
    std::vector<std::unique_ptr<process>> entry;
    std::vector<std::unique_ptr<process>> agent;
    std::vector<std::unique_ptr<worker>> site;
};

inline std::string jobId(unsigned number)
{
    char id[32];
    std::snprintf(id, sizeof id, "%016x", number);
    return id;
}

/** Sends one request to submit a job and records it. */
inline reply submit(deployment &system, std::size_t entry, const std::string &id, const std::string &body, milliseconds limit, record &output)
{
    output.line("client: sends job " + id + " to entry " + std::to_string(entry + 1));
    const reply found = request(system.ports[entry].front, "POST", "/order/" + id, body, limit);
    output.line("client: job " + id + " at entry " + std::to_string(entry + 1) + ": "
                + (found.status == 0 ? std::string("no response; connection closed") : std::to_string(found.status) + " " + found.body));
    return found;
}

/** Counts the pairs of runs of one task that were at work at the same time, and records them. */
inline int countTwice(const run_book &book, record &output)
{
    const auto runs = book.all();
    int found = 0;
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            if (runs[i].task != runs[k].task) {
                continue;
            }
            const long long begin = std::max(runs[i].from, runs[k].from);
            const long long end = std::min(runs[i].to < 0 ? output.now() : runs[i].to, runs[k].to < 0 ? output.now() : runs[k].to);
            if (begin < end) {
                ++found;
                output.line("BROKEN: two runs of " + runs[i].task + " at the same time, at " + runs[i].worker + " (" + std::to_string(runs[i].from) + " to "
                            + std::to_string(runs[i].to) + " ms) and " + runs[k].worker + " (" + std::to_string(runs[k].from) + " to "
                            + std::to_string(runs[k].to) + " ms): both for " + std::to_string(end - begin) + " ms");
            }
        }
    }
    return found;
}

/** Ends the processes and the script at once, while the threads of the stand-ins still run. */
[[noreturn]] inline void finish(deployment &system, int status)
{
    system.end();
    std::fflush(nullptr);
    ::_exit(status);
}

inline bool isTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
