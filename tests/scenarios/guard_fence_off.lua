-- Self-test of the checker: without fences on the agents, it reports tasks that the home entry starts after its pause.
start{entries = 2, agents = 2, slots = 2}
disable_guard("fence")
local ticket = tickets(0, 1)[1]
submit(0, {ticket = ticket, tasks = 12, ms = 300, limit = 20000})
run(100)
fault("pause_entry", 0)
run(3000)
submit(1, {ticket = ticket, tasks = 12, ms = 300, limit = 6000})
run(7000)
fault("resume_entry", 0)
run(20000)
expect(#violations() > 0, "a start after the fence is reported as a violation")
