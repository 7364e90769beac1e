-- Failure: a team gets its full quota at each entry, and so several times its quota in total.
start{entries = 3, agents = 6, slots = 8, teams = {greedy = {quota = 12}, other = {}}}
run(2500)
local peak = 0
local running = {}
for step = 1, 100 do
    for entry = 0, 2 do
        local ticket = tickets(entry, 1)[1]
        running[#running + 1] = submit(entry, {ticket = ticket, team = "greedy", tasks = 2, ms = 1000, limit = 5000})
    end
    run(100)
    local open = 0
    for _, request in ipairs(running) do
        open = open + (answer(request) and 0 or 2)
    end
    peak = math.max(peak, open)
end
expect(peak >= 6, "the team gets at least half of its quota")
expect(peak <= 12, "the team never has more than its quota in progress, not " .. peak)
local other = submit(0, {ticket = tickets(0, 1)[1], team = "other", tasks = 2, ms = 50})
run(500)
expect(answer(other).state == "complete", "jobs of other teams complete")
expect(#violations() == 0, table.concat(violations(), "; "))
