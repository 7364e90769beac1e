-- Failure: a client that resubmits a job which it believes lost makes its tasks start twice.
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
    expect(reply and reply.state == "complete" and reply.results == 3, "each submission gets the whole answer")
end
expect(starts_of(ticket) == 3, "each task started once")

-- Failure: a ticket is taken for another job, whose caller would get the answer of the first one.
local reused = submit(1, {ticket = ticket, tasks = 4, ms = 10})
run(1000)
expect(answer(reused).reason == "ticket_reused", "other content is refused")
expect(starts_of(other) == 0, "an unused ticket starts nothing")
expect(#violations() == 0, table.concat(violations(), "; "))
