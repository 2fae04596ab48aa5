"""Pools of endpoints: split by zone, and ranked identically for a group at all balancers."""

from __future__ import annotations

from collections import Counter

from walkloom.messages import Endpoint
from walkloom.state import EndpointPool, EndpointState, Tier


def endpoints(number: int, **fields: float) -> list[EndpointState]:
    made = [EndpointState.from_list(Endpoint(f"s{index}", zone=index % 2)) for index in range(number)]
    for endpoint in made:
        for name, value in fields.items():
            setattr(endpoint, name, value)
    return made


def test_a_tier_is_split_by_zone() -> None:
    tier = Tier.split(endpoints(5), zone=1)
    assert {endpoint.id for endpoint in tier.local.endpoints} == {"s1", "s3"}
    assert {endpoint.id for endpoint in tier.remote.endpoints} == {"s0", "s2", "s4"}
    assert tier.size == 5


def test_the_ranking_for_a_group_does_not_depend_on_the_order_of_endpoints() -> None:
    made = endpoints(20)
    ranked = EndpointPool(made).ranked_for("group", 24)
    assert EndpointPool(made[::-1]).ranked_for("group", 24) == ranked
    assert set(ranked) == set(made) and len(ranked) == len(made)


def test_removing_the_last_ranked_endpoint_leaves_the_ranking_of_the_others() -> None:
    made = endpoints(10)
    first = EndpointPool(made).ranked_for("group", 24)
    without_last = [endpoint for endpoint in made if endpoint is not first[-1]]
    assert EndpointPool(without_last).ranked_for("group", 24) == first[:-1]


def test_endpoints_with_a_larger_weight_rank_first_for_more_groups() -> None:
    made = endpoints(4)
    made[0].capacity_weight = 3.0
    pool = EndpointPool(made)
    first = Counter(pool.ranked_for(group, 24)[0].id for group in range(600))
    assert 240 < first["s0"] < 360  # it has half of the total capacity


def test_only_part_of_a_large_pool_is_ranked_and_the_ring_wraps_around() -> None:
    pool = EndpointPool(endpoints(300))
    seen = set()
    for group in range(400):
        ranked = pool.ranked_for(group, 24)
        assert len(ranked) == len(set(ranked)) == 24
        seen.update(ranked)
    assert len(seen) == 300
