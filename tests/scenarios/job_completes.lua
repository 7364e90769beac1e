-- Failure: results are lost, swapped between jobs, or returned in another order than the tasks.
start{entries = 3, agents = 3, slots = 4}
local requests = {}
for entry = 0, 2 do
    for _, ticket in ipairs(tickets(entry, 10)) do
        requests[#requests + 1] = submit(entry, {ticket = ticket, tasks = 5, ms = 80})
    end
end
run(9000)
for _, request in ipairs(requests) do
    local reply = answer(request)
    expect(reply and reply.state == "complete" and reply.results == 5, "every job completes with all results")
end
expect(#violations() == 0, table.concat(violations(), "; "))
