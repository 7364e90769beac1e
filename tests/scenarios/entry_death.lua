-- Failure: the home entry dies, and a resubmission through another entry starts the tasks again or is answered as not run.
start{entries = 2, agents = 2}
local ticket = tickets(0, 1)[1]
local first = submit(0, {ticket = ticket, tasks = 4, ms = 200})
run(100)
fault("kill_entry", 0)
run(100)
local again = submit(1, {ticket = ticket, tasks = 4, ms = 200})
run(8000)
local reply = answer(again)
expect(reply and reply.state == "complete" and reply.results == 4, "the results are recovered from the agents")
expect(starts_of(ticket) == 4, "each task started once")

-- If some tasks never started, the job can't be completed from the agents, nor may it be reported as not run.
fault("start_entry", 0)
run(1000)
local second = tickets(0, 1)[1]
submit(0, {ticket = second, tasks = 40, ms = 400})
run(100)
fault("kill_entry", 0)
run(100)
local unknown = submit(1, {ticket = second, tasks = 40, ms = 400, limit = 5000})
run(8000)
reply = answer(unknown)
expect(reply and reply.state == "failed" and reply.reason == "outcome_unknown" and not reply.not_run, "the outcome is reported as unknown")
expect(#violations() == 0, table.concat(violations(), "; "))
