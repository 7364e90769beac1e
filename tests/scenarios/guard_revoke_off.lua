-- Self-test of the checker: if the home entry takes an unanswered start for not started, it reports second starts.
start{entries = 1, agents = 2, slots = 2}
disable_guard("revoke")
local ticket = tickets(0, 1)[1]
submit(0, {ticket = ticket, tasks = 4, ms = 3000})
run(100)
cut(0, 0)
run(8000)
expect(#violations() > 0, "a second start is reported as a violation")
