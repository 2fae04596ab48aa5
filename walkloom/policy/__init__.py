"""The decisions of a balancer and every tuned constant: events in, actions out, no I/O, no state of its own.

- `dispatch`: the life of a request from its arrival to its final answer: attempt, retry, hold, reject
- `endpoint_selection`, `load_reports`, `load_polling`: which endpoint a request is sent to
- `outlier_detection`, `slow_start`: which endpoints get trials only, or few requests
- `migration`: what overloaded endpoints get, and which open connections move
- `list_lease`: how old the endpoint list may be; `endpoint_watch`: when it is asked for
"""
