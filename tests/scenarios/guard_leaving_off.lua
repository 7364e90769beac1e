-- Self-test of the checker: if entries are not told that an agent is leaving, it reports the starts sent to that agent.
start{entries = 1, agents = 2, slots = 2}
disable_guard("leaving")
fault("drain_agent", 0)
run(2500)
for _, ticket in ipairs(tickets(0, 10)) do
    submit(0, {ticket = ticket, tasks = 2, ms = 100})
end
run(5000)
expect(#violations() > 0, "a start sent to the leaving agent is reported as a violation")
