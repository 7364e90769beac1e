-- Failure: a job that can never run is kept until its deadline instead of being refused at once.
start{entries = 2, agents = 1, kinds = {check = {}, order = {}}}
set_rules{kinds = {check = {}, order = {}, orphan = {}}}
run(10)
local unknown = submit(0, {ticket = tickets(0, 1)[1], kind = "nonsense", limit = 60000})
local orphan = submit(0, {ticket = tickets(0, 1)[1], kind = "orphan", limit = 60000})
local works = submit(0, {ticket = tickets(0, 1)[1], kind = "order", ms = 20})
run(500)
expect(answer(unknown).reason == "unknown_kind" and answer(unknown).not_run, "an unknown kind is refused")
expect(answer(orphan).reason == "no_endpoint" and answer(orphan).not_run, "a kind that no endpoint offers is refused")
expect(answer(works).state == "complete", "jobs of other kinds complete")
expect(#violations() == 0, table.concat(violations(), "; "))
