#include "chain/simulated_worker.h"

#include <algorithm>
#include <utility>

namespace teaselward
{

namespace
{

using namespace std::chrono_literals;

constexpr double SlowestClock = 0.98;
constexpr std::chrono::milliseconds MaxLease = 5s;
constexpr std::chrono::microseconds MaxStopTime = 20ms; // Time that the stop of a run takes at most.
constexpr std::uint32_t FullPercent = 100;

} // namespace

simulated_worker::simulated_worker(std::size_t position, virtual_timeline &timeline, seeded_random &random, run_log &runs)
    : m_position(position)
    , m_timeline(timeline)
    , m_random(random)
    , m_log(runs)
    , m_rate(random.chance(0.5) ? SlowestClock : 1)
    , m_bornAt(timeline.now())
{
}

void simulated_worker::crash()
{
    m_isAlive = false;
    for (const auto &[key, run] : std::exchange(m_live, {})) {
        m_log.ended(m_position, {.job = key.first, .index = key.second, .attempt = run.attempt});
    }
    m_closed.clear();
    m_ends.clear();
    m_lastEnd = 0;
    m_waiting.clear();
    m_token = 0;
    m_leaseEnd = {};
}

void simulated_worker::crashSilently()
{
    crash();
    m_isSilent = true;
}

bool simulated_worker::isSilent() const
{
    return m_isSilent;
}

std::uint64_t simulated_worker::life() const
{
    return m_life;
}

void simulated_worker::restart()
{
    ++m_life;
    m_isAlive = true;
    m_isSilent = false;
    m_bornAt = m_timeline.now();
}

bool simulated_worker::isAlive() const
{
    return m_isAlive;
}

std::chrono::milliseconds simulated_worker::clock() const
{
    return std::chrono::floor<std::chrono::milliseconds>((m_timeline.now() - m_bornAt) * m_rate);
}

std::chrono::milliseconds simulated_worker::born() const
{
    return std::chrono::floor<std::chrono::milliseconds>(m_bornAt.time_since_epoch());
}

std::size_t simulated_worker::lapsedRuns() const
{
    return m_lapsed;
}

bool simulated_worker::takeToken(std::uint64_t token)
{
    if (token < m_token) {
        return false;
    }
    m_token = token;
    return true;
}

void simulated_worker::hold(std::chrono::milliseconds leaseEnd)
{
    const auto limited = std::min(leaseEnd, clock() + MaxLease);
    if (limited <= m_leaseEnd) {
        return;
    }
    m_leaseEnd = limited;
    const auto left = std::chrono::ceil<std::chrono::microseconds>((m_leaseEnd - clock()) / m_rate);
    m_timeline.after(left, [this] {
        checkLease();
    });
}

void simulated_worker::checkLease()
{
    if (clock() < m_leaseEnd) {
        return;
    }
    while (!m_live.empty()) {
        const auto &[key, run] = *m_live.begin();
        ++m_lapsed;
        end({.job = key.first, .index = key.second, .attempt = run.attempt}, run_result::lapsed);
    }
}

// The lease of a start is taken even if the run is refused. A start that is carried out late begins if the lease of the worker
// was renewed meanwhile.
call_result simulated_worker::start(const start_run &call)
{
    if (!takeToken(call.fencingToken)) {
        return call_result::fenced;
    }
    hold(call.leaseEnd);
    const task_key key{call.id.job, call.id.index};
    if (const auto found = m_live.find(key); found != m_live.end()) {
        return found->second.attempt == call.id.attempt ? call_result::accepted : call_result::outdated;
    }
    if (const auto closed = m_closed.find(key); closed != m_closed.end() && call.id.attempt <= closed->second) {
        return call_result::outdated;
    }
    if (clock() >= m_leaseEnd) {
        return call_result::expired;
    }
    const auto length = std::chrono::microseconds(std::stoll(call.spec));
    m_live[key] = {.attempt = call.id.attempt, .since = m_timeline.now(), .length = length};
    m_log.began(m_position, call.id, m_timeline.now());
    m_timeline.after(length, [this, id = call.id, life = m_life] {
        if (life == m_life) {
            end(id, run_result::done);
        }
    });
    return call_result::accepted;
}

call_result simulated_worker::stop(const stop_run &call)
{
    if (!takeToken(call.fencingToken)) {
        return call_result::fenced;
    }
    std::uint32_t &closed = m_closed[{call.id.job, call.id.index}];
    closed = std::max(closed, call.id.attempt);
    m_timeline.after(m_random.between(0us, MaxStopTime), [this, id = call.id, life = m_life] {
        if (life == m_life) {
            end(id, run_result::stopped);
        }
    });
    return call_result::accepted;
}

// Ends a run, unless it has ended before.
void simulated_worker::end(const run_id &id, run_result result)
{
    const task_key key{id.job, id.index};
    const auto found = m_live.find(key);
    if (found == m_live.end() || found->second.attempt != id.attempt) {
        return;
    }
    m_live.erase(found);
    m_log.ended(m_position, id);
    std::uint32_t &closed = m_closed[key];
    closed = std::max(closed, id.attempt);
    m_ends.push_back({.number = ++m_lastEnd, .id = id, .result = result});
    answerWaiting();
}

void simulated_worker::list(const list_runs &call, const std::function<void(list_runs_result)> &answer)
{
    if (!takeToken(call.fencingToken)) {
        list_runs_result refused;
        refused.number = call.number;
        refused.result = call_result::fenced;
        answer(refused);
        return;
    }
    std::erase_if(m_ends, [&call](const run_end &end) {
        return end.number <= call.acknowledged;
    });
    if (call.leaseEnd) {
        hold(*call.leaseEnd);
    }
    if (!m_ends.empty() || call.wait == 0ms) {
        answer(lists(call.number));
        return;
    }
    const std::uint64_t waiting = ++m_lastWaiting;
    m_waiting.emplace(waiting, waiting_list{.call = call, .answer = answer});
    m_timeline.after(call.wait, [this, waiting] {
        if (const auto found = m_waiting.find(waiting); found != m_waiting.end()) {
            const waiting_list one = found->second;
            m_waiting.erase(found);
            one.answer(lists(one.call.number));
        }
    });
}

void simulated_worker::answerWaiting()
{
    for (const auto &[number, one] : std::exchange(m_waiting, {})) {
        one.answer(lists(one.call.number));
    }
}

list_runs_result simulated_worker::lists(std::uint64_t number) const
{
    list_runs_result result;
    result.number = number;
    result.result = call_result::accepted;
    result.endpointTime = clock();
    result.endpointStart = born();
    for (const auto &[key, run] : m_live) {
        const auto percent = static_cast<std::uint32_t>(FullPercent * (m_timeline.now() - run.since) / run.length);
        result.running.push_back({.id = {.job = key.first, .index = key.second, .attempt = run.attempt}, .percent = std::min(percent, FullPercent)});
    }
    result.ended = m_ends;
    return result;
}

} // namespace teaselward
