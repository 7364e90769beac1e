-- Failure: a combination of kills, restarts, pauses, cuts, drains and endpoint faults breaks an invariant.
-- The sequence of events depends only on the seed, so a failing run is replayed by its seed.
start{entries = 3, agents = 4, slots = 3}

local faults = {
    function() local e = random(3); fault("kill_entry", e); run(random(400)); fault("start_entry", e) end,
    function() local a = random(4); fault("kill_agent", a); run(random(400)); fault("start_agent", a) end,
    function() local e = random(3); fault("pause_entry", e); run(random(4000)); fault("resume_entry", e) end,
    function() local a = random(4); fault("pause_agent", a); run(random(4000)); fault("resume_agent", a) end,
    function() local e, a = random(3), random(4); cut(e, a); run(random(4000)); heal(e, a) end,
    function() local e = random(2); cut_entries(e, 2); run(random(4000)); heal_entries(e, 2) end,
    function() local a = random(4); set_endpoint(a, ({"fail", "refuse", "silent"})[random(3) + 1]); run(random(1000)); set_endpoint(a, "ok") end,
    function() local a = random(4); fault("drain_agent", a); run(2500); fault("kill_agent", a); fault("start_agent", a) end,
    function() local e = random(3); fault("drain_entry", e); run(1500); fault("kill_entry", e); fault("start_entry", e) end,
}

local jobs = {}
local function submitJobs()
    for _ = 1, 1 + random(4) do
        local entry = random(3)
        local issued = tickets(entry, 1)
        if issued[1] then
            jobs[#jobs + 1] = {ticket = issued[1], tasks = 1 + random(5), ms = 20 + random(600), limit = 2000 + random(6000)}
            submit(entry, jobs[#jobs])
        end
    end
end

for _ = 1, 12 do
    submitJobs()
    run(random(300))
    if random(3) > 0 then
        faults[random(#faults) + 1]()
    end
    for _ = 1, random(4) do
        if #jobs > 0 then submit(random(3), jobs[random(#jobs) + 1]) end
    end
    if random(5) == 0 and #jobs > 0 then
        cancel(random(3), jobs[random(#jobs) + 1].ticket)
    end
end
run(20000)
expect(#violations() == 0, table.concat(violations(), "; "))
