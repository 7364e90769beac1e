-- Failure: an agent that was paused beyond its lease starts tasks that have been placed elsewhere in the meantime.
start{entries = 2, agents = 2, slots = 2}
local requests = {}
for entry = 0, 1 do
    for _, ticket in ipairs(tickets(entry, 6)) do
        requests[#requests + 1] = submit(entry, {ticket = ticket, tasks = 2, ms = 200, limit = 20000})
    end
end
run(100)
fault("pause_agent", 0)
run(5000)
fault("resume_agent", 0)
run(10000)
for _, request in ipairs(requests) do
    expect(answer(request) and answer(request).state == "complete", "every job completes after the pause")
end
expect(#violations() == 0, table.concat(violations(), "; "))
