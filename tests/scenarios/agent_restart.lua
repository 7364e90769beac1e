-- Failure: tasks run again because a restarted agent has no record of the starts before its restart.
start{entries = 1, agents = 2, slots = 2}
local ticket = tickets(0, 1)[1]
local request = submit(0, {ticket = ticket, tasks = 4, ms = 1000, limit = 6000})
run(100)
fault("kill_agent", 0)
run(200)
fault("start_agent", 0)
run(7000)
local reply = answer(request)
expect(reply.state == "failed" and reply.reason == "outcome_unknown" and not reply.not_run, "the lost outcome is reported as unknown")
expect(starts_of(ticket) == 4, "each task started once")

local later = tickets(0, 6)
local requests = {}
for _, one in ipairs(later) do
    requests[#requests + 1] = submit(0, {ticket = one, tasks = 2, ms = 100})
end
run(3000)
for _, one in ipairs(requests) do
    expect(answer(one).state == "complete", "jobs complete after the restart")
end
expect(starts_on(0) > 2, "agent 0 runs tasks again")
expect(#violations() == 0, table.concat(violations(), "; "))
