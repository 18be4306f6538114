"""What the measurements share: their context and the figures they return."""
import dataclasses
import pathlib
import statistics


@dataclasses.dataclass
class Context:
    """Where the programs are and how long the experiments may take."""
    build: pathlib.Path
    quick: bool
    seed: str
    parameters: dict = dataclasses.field(default_factory=dict)
    # Time courses by name, each a list of (second, value); drawn beside the figures.
    courses: dict = dataclasses.field(default_factory=dict)

    def program(self, name):
        return self.build / "src" / "bench" / name


@dataclasses.dataclass
class Figure:
    """A measured quantity with every repetition's value, and the bounds that it should keep."""
    name: str
    unit: str
    values: list
    at_least: float | None = None
    at_most: float | None = None

    @property
    def median(self):
        return statistics.median(self.values)

    @property
    def met(self):
        """None without a target."""
        if self.at_least is None and self.at_most is None:
            return None
        low = self.at_least is None or self.median >= self.at_least
        high = self.at_most is None or self.median <= self.at_most
        return low and high
