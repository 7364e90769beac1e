-- Failure: after many cancellations at once, cancelled tasks still start from the queue, or their slots are never released.
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
expect(later == started, "no task starts after its cancellation")
expect(answer(requests[60]).state == "complete", "jobs that were not cancelled get the released slots")
expect(#violations() == 0, table.concat(violations(), "; "))
