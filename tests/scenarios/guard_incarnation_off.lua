-- Self-test of the checker: if a restarted agent keeps its id although its ledger is lost, it reports second starts.
start{entries = 1, agents = 1, slots = 2}
disable_guard("incarnation")
local ticket = tickets(0, 1)[1]
submit(0, {ticket = ticket, tasks = 2, ms = 1000, limit = 8000})
run(100)
fault("kill_agent", 0)
run(200)
fault("start_agent", 0)
run(8000)
expect(#violations() > 0, "a second start is reported as a violation")
