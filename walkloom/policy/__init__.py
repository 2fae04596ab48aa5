"""The decisions of a balancer and their constants: events in, actions out, no I/O and no state of its own.

- `dispatch`: the life cycle of a request: attempt, retry, hold, reject
- `endpoint_selection`, `load_reports`, `load_polling`: which endpoint a request is sent to
- `outlier_detection`, `slow_start`: which endpoints get only trials, or few requests
- `migration`: pauses of overloaded endpoints, and which open connections migrate
- `list_lease`: how old the endpoint list may be; `endpoint_watch`: when discovery is called for it
"""
