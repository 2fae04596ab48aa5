"""Benchmarks of the client library: python -m benchmarks.client.

Balancers run as real processes, with stub servers on loopback. The runs are seeded and bounded; all of them
take about a minute and a half.

    fleet_scenarios   the drain of a full server and the outage of all servers, with viewers that retry
                      immediately, with exponential backoff, with the library as one client, and as eight
    deadlines         the library with balancers that answer irregularly or not at all: no attempt may start
                      after its deadline or last beyond it
    many_sessions     memory and CPU of many established sessions in one process
    viewers           the viewers of the fleet scenarios, with and without the library
"""
