"""Learns how long the answers of each route are."""

# Requests of a route whose mean answer is longer prefer near hosts.
LARGE_ANSWER_BYTES = 32_768
# Weight of the latest answer in a route's mean answer length.
ANSWER_BYTES_WEIGHT = 0.1


class AnswerSizes:
    """The mean answer length of each route, as one entry has seen it."""

    def __init__(self) -> None:
        self._mean_bytes: dict[str, float] = {}

    def record(self, route: str, size_bytes: int) -> None:
        """Records the length of a complete answer."""
        mean_bytes = self._mean_bytes.get(route, float(size_bytes))
        change_bytes = size_bytes - mean_bytes
        self._mean_bytes[route] = mean_bytes + ANSWER_BYTES_WEIGHT * change_bytes

    def expected_bytes(self, route: str) -> int:
        """Returns the mean length of a route's answers, 0 if none was seen."""
        return int(self._mean_bytes.get(route, 0))


__all__ = ["ANSWER_BYTES_WEIGHT", "AnswerSizes", "LARGE_ANSWER_BYTES"]
