"""A seeded soak test: real balancer processes, stand-ins with faults, and a checker of the recorded history.

Layers, from the top:

- `campaign` runs many seeds in parallel processes.
- `runner` executes one run: it starts all processes, injects the faults on schedule, and stops everything.
- `deployment` and `schedule` draw the settings, faults and clients of a run from its seed. No I/O.
- `checker` reads the history after the run and returns violations. `run_records` groups the records,
  `request_rules` and `process_rules` hold the rules, and `notices` computes when each balancer counts as
  notified of a drain. None of them depends on the balancer's code or log.
- `report` writes a summary line for each run and a timeline for each violation.
- `discovery`, `server` and `client` are the stand-ins, and `process` controls a balancer process. They write
  `history`.
"""
