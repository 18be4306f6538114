"""Context and result types of the measurements."""
import dataclasses
import pathlib
import statistics


@dataclasses.dataclass
class Context:
    """Options of the experiments, and the parameters and time series that they record."""
    build: pathlib.Path
    quick: bool
    seed: str
    parameters: dict = dataclasses.field(default_factory=dict)
    # Time series by name, each a list of (second, value); drawn as a chart.
    time_series: dict = dataclasses.field(default_factory=dict)

    def program(self, name):
        return self.build / "src" / "bench" / name


@dataclasses.dataclass
class Figure:
    """A measured quantity with one value per repetition, and its target bounds."""
    name: str
    unit: str
    values: list
    at_least: float | None = None
    at_most: float | None = None

    @property
    def median(self):
        return statistics.median(self.values)

    @property
    def meets_target(self):
        """Whether the median is within the target bounds; None without a target."""
        if self.at_least is None and self.at_most is None:
            return None
        low = self.at_least is None or self.median >= self.at_least
        high = self.at_most is None or self.median <= self.at_most
        return low and high
