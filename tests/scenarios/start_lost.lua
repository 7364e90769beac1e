-- Failure: a start is lost with its connection, and the job waits forever or the task starts twice.
start{entries = 1, agents = 2, slots = 2}
local requests = {}
local issued = tickets(0, 4)
cut(0, 0)
cut(0, 1)
for _, ticket in ipairs(issued) do
    requests[#requests + 1] = submit(0, {ticket = ticket, tasks = 1, ms = 100, limit = 10000})
end
run(3000)
heal(0, 0)
heal(0, 1)
run(5000)
for i, request in ipairs(requests) do
    expect(answer(request) and answer(request).state == "complete", "the task is placed again after it was revoked")
    expect(starts_of(issued[i]) == 1, "the task started once")
end
expect(#violations() == 0, table.concat(violations(), "; "))
