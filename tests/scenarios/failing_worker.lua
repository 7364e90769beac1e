-- Failure: a worker that fails its tasks at once attracts most of the work, since its slots are always free.
start{entries = 1, agents = 4, slots = 4}
set_endpoint(0, "fail")
local requests = {}
for round = 1, 100 do
    for _, ticket in ipairs(tickets(0, 4)) do
        requests[#requests + 1] = submit(0, {ticket = ticket, tasks = 1, ms = 100})
    end
    run(100)
    if round == 20 then
        startsWhenDetected = starts_on(0)
    end
end
run(2000)
local afterwards = starts_on(0) - startsWhenDetected
expect(afterwards <= 0.02 * 320, "once detected, the failing worker gets at most 2% of the tasks, not " .. afterwards .. " of 320")

-- A recovered worker gets work again.
set_endpoint(0, "ok")
local before = starts_on(0)
for round = 1, 400 do
    submit(0, {ticket = tickets(0, 1)[1], tasks = 8, ms = 100})
    run(100)
end
expect(starts_on(0) > before + 100, "the recovered worker gets tasks again")
expect(#violations() == 0, table.concat(violations(), "; "))
