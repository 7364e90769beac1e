-- Failure: a flood of jobs of one kind, whether of equal or higher weight, starves another kind.
start{entries = 1, agents = 4, slots = 4, kinds = {check = {weight = 1}, bulk = {weight = 1}, urgent = {weight = 4}}}
for _, flooding in ipairs{"bulk", "urgent"} do
    local requests = {}
    for step = 1, 200 do
        for _, ticket in ipairs(tickets(0, 40)) do
            submit(0, {ticket = ticket, kind = flooding, team = "flood", tasks = 1, ms = 100, limit = 2000})
        end
        if step % 5 == 0 then
            requests[#requests + 1] = submit(0, {ticket = tickets(0, 1)[1], kind = "check", tasks = 1, ms = 100, limit = 2000})
        end
        run(25)
    end
    run(3000)
    local served = 0
    for _, request in ipairs(requests) do
        local reply = answer(request)
        if reply.state == "complete" and reply.elapsed_ms <= 1000 then
            served = served + 1
        end
    end
    expect(served >= 0.95 * #requests, "only " .. served .. " of " .. #requests .. " check jobs complete in time while " .. flooding .. " floods")
end
expect(#violations() == 0, table.concat(violations(), "; "))
