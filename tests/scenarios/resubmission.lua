-- Failure: tasks start twice when a client resubmits a job that it believes lost.
start{entries = 3, agents = 2}
local ticket, other = table.unpack(tickets(0, 2))
local first = submit(0, {ticket = ticket, tasks = 3, ms = 200})
run(50)
local whileRunning = submit(0, {ticket = ticket, tasks = 3, ms = 200})
local throughOther = submit(2, {ticket = ticket, tasks = 3, ms = 200})
run(3000)
local afterwards = submit(1, {ticket = ticket, tasks = 3, ms = 200})
run(1000)
for _, request in ipairs{first, whileRunning, throughOther, afterwards} do
    local reply = answer(request)
    expect(reply and reply.state == "complete" and reply.results == 3, "each submission gets all results")
end
expect(starts_of(ticket) == 3, "each task started once")

-- Failure: a ticket is reused for a different job, whose caller gets the answer of the first job.
local reused = submit(1, {ticket = ticket, tasks = 4, ms = 10})
run(1000)
expect(answer(reused).reason == "ticket_reused", "a different job under the same ticket is refused")
expect(starts_of(other) == 0, "an unused ticket starts nothing")
expect(#violations() == 0, table.concat(violations(), "; "))
