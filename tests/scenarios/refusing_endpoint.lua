-- Failure: an endpoint refuses connections, and tasks that never reached it are lost or reported as run.
start{entries = 1, agents = 2, slots = 2}
set_endpoint(0, "refuse")
local requests = {}
for _, ticket in ipairs(tickets(0, 10)) do
    requests[#requests + 1] = submit(0, {ticket = ticket, tasks = 2, ms = 50})
end
run(8000)
for _, request in ipairs(requests) do
    expect(answer(request) and answer(request).state == "complete", "the tasks run on the other endpoint")
end
expect(#violations() == 0, table.concat(violations(), "; "))
