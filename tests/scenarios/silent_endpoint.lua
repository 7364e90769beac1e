-- Failure: an endpoint accepts tasks and never answers, and the caller waits beyond its deadline.
start{entries = 1, agents = 1, slots = 2}
set_endpoint(0, "silent")
local request = submit(0, {ticket = tickets(0, 1)[1], tasks = 2, ms = 50, limit = 1000})
run(1500)
local reply = answer(request)
expect(reply and reply.state == "failed" and not reply.not_run, "the job fails and is not reported as not run")
expect(reply.elapsed_ms <= 1100, "the answer arrives at the deadline")
expect(#violations() == 0, table.concat(violations(), "; "))
