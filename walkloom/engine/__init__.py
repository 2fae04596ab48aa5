"""Runs the policy for any frontend: the clock, timers and mailboxes, and what the signals of servers mean."""
