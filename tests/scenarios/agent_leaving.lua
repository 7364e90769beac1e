-- Failure: a leaving endpoint gets new work, or its work in progress is aborted.
start{entries = 2, agents = 2, slots = 2}
local requests = {}
for entry = 0, 1 do
    for _, ticket in ipairs(tickets(entry, 10)) do
        requests[#requests + 1] = submit(entry, {ticket = ticket, tasks = 2, ms = 300, limit = 30000})
    end
end
run(100)
fault("drain_agent", 0)
run(10)
local before = starts_on(0)
run(20000)
expect(starts_on(0) == before, "the leaving endpoint gets no new task")
expect(drained("agent", 0), "the agent reports that nothing is in progress")
for _, request in ipairs(requests) do
    expect(answer(request).state == "complete", "every job in progress completes")
end
expect(#violations() == 0, table.concat(violations(), "; "))
