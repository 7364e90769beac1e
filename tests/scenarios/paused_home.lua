-- Failure: the home entry is paused beyond its lease, another entry answers, and the home entry starts tasks after its pause.
start{entries = 2, agents = 2, slots = 2}
local ticket = tickets(0, 1)[1]
submit(0, {ticket = ticket, tasks = 12, ms = 300, limit = 20000})
run(100)
fault("pause_entry", 0)
run(3000)
local elsewhere = submit(1, {ticket = ticket, tasks = 12, ms = 300, limit = 6000})
run(7000)
local reply = answer(elsewhere)
expect(reply and reply.state == "failed" and not reply.not_run, "the outcome is unknown while the home is paused")
fault("resume_entry", 0)
run(20000)
expect(starts_of(ticket) < 12, "the fence stops further starts by the resumed home entry")
expect(#violations() == 0, table.concat(violations(), "; "))
