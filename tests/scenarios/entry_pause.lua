-- Failure: an entry that was paused beyond its lease acts on the state from before the pause.
start{entries = 1, agents = 3, slots = 2}
local requests = {}
for _, ticket in ipairs(tickets(0, 8)) do
    requests[#requests + 1] = submit(0, {ticket = ticket, tasks = 3, ms = 200, limit = 20000})
end
run(100)
fault("pause_entry", 0)
run(5000)
fault("resume_entry", 0)
run(10000)
for _, request in ipairs(requests) do
    expect(answer(request) and answer(request).state == "complete", "every job completes after the pause")
end
expect(#violations() == 0, table.concat(violations(), "; "))
