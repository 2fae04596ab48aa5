"""The simulator's wire: batches of events in, replies of actions out.

- `host`: the program that the simulator starts; it runs one policy for each simulated balancer
- `decoder`, `encoder`: the two directions of the wire; they map its names to those of the messages
- `records`: events and actions of the wire that are not messages of the policy
- `settings`: reads the settings from the wire and from the configuration file
- `errors`: the errors of these modules
"""
