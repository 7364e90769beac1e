-- Failure: a caller that lost its ticket submits the same order under a new ticket, and the order runs twice.
start{entries = 1, agents = 1}
local issued = tickets(0, 2)
local first = submit(0, {ticket = issued[1], tasks = 1, ms = 100, key = "order-17"})
run(20)
local second = submit(0, {ticket = issued[2], tasks = 1, ms = 100, key = "order-17"})
run(1000)
expect(answer(first).state == "complete", "the first submission completes")
expect(starts_of(issued[2]) == 0, "the second submission starts nothing")
expect(answer(second) ~= nil, "the second submission is answered")
