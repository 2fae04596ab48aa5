"""What a drain and an outage do, by how the clients retry: python -m benchmarks.client.

Real balancers as processes and stub servers on loopback. Seeded, bounded, about a minute and a half.

    fleet_scenarios   the drain of a full server and the outage of all servers, with viewers that retry at
                      once, with plain exponential backoff, with the library as one client, and as eight
    deadlines         the library against balancers that never answer regularly: no attempt may start or be
                      alive after its deadline
    many_sessions     memory and CPU of many established sessions in one process
    viewers           the viewers of the fleet scenarios, with and without the library
"""
