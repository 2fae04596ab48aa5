"""The simulator's wire: batches of events in, replies of actions out.

- `host`: what the simulator starts; one policy for each balancer that it tells of
- `decoder`, `encoder`: the two directions of the wire, with its words beside the program's
- `records`: what the wire carries beyond the policy's messages
- `settings`: the settings, which the platform's file holds in a nested form too
- `errors`: what can be wrong
"""
