-- Failure: a wave of cancellations leaves queued tasks that still start, or slots that are never free again.
start{entries = 1, agents = 2, slots = 2}
local issued = tickets(0, 60)
local requests = {}
for i, ticket in ipairs(issued) do
    requests[i] = submit(0, {ticket = ticket, tasks = 2, ms = 100, limit = 60000})
end
run(50)
for i = 1, 58 do
    cancel(0, issued[i])
end
run(20)
local started = 0
for i = 1, 58 do
    local reply = answer(requests[i])
    expect(reply.state == "failed" and reply.reason == "cancelled", "the job is answered as cancelled")
    started = started + starts_of(issued[i])
end
run(1000)
local later = 0
for i = 1, 58 do
    later = later + starts_of(issued[i])
end
expect(later == started, "no cancelled task starts")
expect(answer(requests[60]).state == "complete", "the slots are free for the others")
expect(#violations() == 0, table.concat(violations(), "; "))
