-- Failure: an agent is killed and stays down; its job never gets an answer, or is reported complete with results missing.
start{entries = 1, agents = 2, slots = 2}
local ticket = tickets(0, 1)[1]
local request = submit(0, {ticket = ticket, tasks = 4, ms = 1000, limit = 4000})
run(100)
fault("kill_agent", 0)
run(6000)
local reply = answer(request)
expect(reply.state == "failed" and reply.results == 0 and not reply.not_run, "the job fails as a whole")
local after = submit(0, {ticket = tickets(0, 1)[1], tasks = 2, ms = 100})
run(1000)
expect(answer(after).state == "complete", "the remaining agent completes new jobs")
expect(#violations() == 0, table.concat(violations(), "; "))
