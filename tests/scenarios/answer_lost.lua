-- Failure: the answer of a task is lost after the task ran, and the task runs again on another agent.
start{entries = 1, agents = 2, slots = 2}
local ticket = tickets(0, 1)[1]
local request = submit(0, {ticket = ticket, tasks = 4, ms = 300})
run(100)
cut(0, 0)
run(3000)
expect(answer(request) == nil, "the outcome of the tasks at agent 0 is not known yet")
heal(0, 0)
run(2000)
expect(answer(request).state == "complete", "the lost results are recovered from the agent's ledger")
expect(starts_of(ticket) == 4, "each task started once")
expect(#violations() == 0, table.concat(violations(), "; "))
