"""A violation of a rule."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation: `at` is when it occurred, `bound` the time limit (seconds on the history's clock)."""

    rule: str
    balancer: str
    # "-" where the violation concerns a process.
    request: str
    at: float
    bound: float
    text: str

    def __str__(self) -> str:
        return (
            f"{self.rule} balancer={self.balancer} request={self.request} "
            f"at={self.at:.3f} bound={self.bound:.3f} {self.text}"
        )
