"""The affinity groups of recent requests."""

from __future__ import annotations

from walkloom.messages import AffinityGroup


class RecentGroups:
    """Counts the requests of each affinity group, as long as they follow each other within a window."""

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        # Number of requests, and when the newest came, ms; the group with the oldest one first.
        self._recent: dict[AffinityGroup, tuple[int, float]] = {}

    def __len__(self) -> int:
        """Return the number of groups that are remembered."""
        return len(self._recent)

    def count(self, group: AffinityGroup, now: float) -> int:
        """Count a request of a group; return how many came within a window of each other. now: ms."""
        self._forget_before(now - self._window_ms)
        previous, _ = self._recent.pop(group, (0, now))
        self._recent[group] = (previous + 1, now)
        return previous + 1

    def _forget_before(self, time_ms: float) -> None:
        while self._recent:
            oldest = next(iter(self._recent))
            if self._recent[oldest][1] > time_ms:
                break
            del self._recent[oldest]
