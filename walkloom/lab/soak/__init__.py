"""A seeded soak: real balancer processes among stand-ins with faults, and a checker of what they saw.

Layers, from the top:

- `runner` plays one run: starts everything, injects the faults on time, and ends it.
- `deployment`, `schedule` draw what a run consists of from its seed. No I/O.
- `checker` reads the history after the run and returns violations: `run_records` sorts it, `request_rules`
  and `process_rules` hold the rules, `notices` reckons when each balancer counts as notified of a drain.
  None of them knows the balancer's code or log.
- `report` writes a violation's timeline.
- `discovery`, `server`, `client` are the stand-ins, `process` the handle on a balancer; they write `history`.
"""
