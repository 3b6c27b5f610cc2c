"""What was learned of upstreams' speeds and of answers' lengths."""

from dataclasses import dataclass

from azureturn.core._upstreams import Upstream
from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamSettings

_MS_PER_S = 1_000.0
#: Weight of a new sample against what was learned before.
_PACE_WEIGHT = 0.15
_PREFILL_DOWN_WEIGHT = 0.2
_PREFILL_UP_WEIGHT = 0.02
_LENGTH_WEIGHT = 0.05
_ANSWER_WEIGHT = 0.05
#: Prompts shorter than this tell too little of the prefill speed.
_PREFILL_SAMPLE_TOKENS = 200
#: A pace that no sample has confirmed for this long gives way to the assumed one.
_PACE_FRESH_MS = 5_000


@dataclass(frozen=True)
class LearnedSpeed:
    """How fast an upstream has lately been under the load that it had."""

    #: Time from one token of an answer to the next.
    decode_ms_per_token: float
    prefill_ms_per_token: float
    #: Mean time from the dispatch of a request to the end of its answer; 0 until measured.
    answer_ms: float = 0.0
    samples: int = 0
    sampled_at_ms: int = 0

    @classmethod
    def from_settings(cls, settings: UpstreamSettings) -> "LearnedSpeed":
        """Return the speeds that are assumed until measured."""
        return cls(
            decode_ms_per_token=_MS_PER_S / settings.decode_tokens_per_s,
            prefill_ms_per_token=_MS_PER_S / settings.prefill_tokens_per_s,
        )

    def pace_ms(self, settings: UpstreamSettings, now_ms: int) -> float:
        """Return the time for each token, by what was seen lately.

        An upstream that was slow and has got no work since is tried again after a while.
        """
        if not self.samples or now_ms - self.sampled_at_ms <= _PACE_FRESH_MS:
            return self.decode_ms_per_token
        return min(self.decode_ms_per_token, _MS_PER_S / settings.decode_tokens_per_s)

    def with_pace(self, ms_per_token: float, *, now_ms: int) -> "LearnedSpeed":
        """Return a copy that has seen one more interval between tokens."""
        weight = max(_PACE_WEIGHT, 1.0 / (1 + self.samples))
        pace = self.decode_ms_per_token + weight * (ms_per_token - self.decode_ms_per_token)
        return changed(
            self, decode_ms_per_token=pace, samples=self.samples + 1, sampled_at_ms=now_ms
        )

    def with_answer(self, took_ms: float) -> "LearnedSpeed":
        """Return a copy that has seen how long one more answer took."""
        if not self.answer_ms:
            return changed(self, answer_ms=took_ms)
        mean_ms = self.answer_ms + _ANSWER_WEIGHT * (took_ms - self.answer_ms)
        return changed(self, answer_ms=mean_ms)

    def with_first_token(self, waited_ms: float, computed_tokens: int) -> "LearnedSpeed":
        """Return a copy that has seen how long a prompt took; short ones say nothing.

        Most samples hold some waiting besides the work, so shorter ones count for more.
        """
        if computed_tokens < _PREFILL_SAMPLE_TOKENS:
            return self
        sample = waited_ms / computed_tokens
        shorter = sample < self.prefill_ms_per_token
        weight = _PREFILL_DOWN_WEIGHT if shorter else _PREFILL_UP_WEIGHT
        change = weight * (sample - self.prefill_ms_per_token)
        return changed(self, prefill_ms_per_token=self.prefill_ms_per_token + change)


class SpeedTable(Table[str, LearnedSpeed]):
    """Learned speeds by upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._assumed: dict[tuple[float, float], LearnedSpeed] = {}
        #: The speed last learned of any upstream of a hardware.
        self._by_hardware: dict[str, LearnedSpeed] = {}

    def learn(self, upstream: Upstream, speed: LearnedSpeed) -> None:
        """Replace the speed of an upstream."""
        self.put(upstream.settings.name, speed)
        unsampled = changed(speed, samples=0, sampled_at_ms=0)
        self._by_hardware[upstream.settings.hardware] = unsampled

    def of(self, upstream: Upstream) -> LearnedSpeed:
        """Return what was learned of an upstream, of its hardware, or what its settings assume.

        Without the hardware's, an upstream of which nothing is known would seem slower or
        faster than its equals for no reason but the settings, and might never be chosen.
        """
        learned = self.get(upstream.settings.name)
        if learned is not None:
            return learned
        of_hardware = self._by_hardware.get(upstream.settings.hardware)
        return self._assume(upstream.settings) if of_hardware is None else of_hardware

    def _assume(self, settings: UpstreamSettings) -> LearnedSpeed:
        key = (settings.decode_tokens_per_s, settings.prefill_tokens_per_s)
        assumed = self._assumed.get(key)
        if assumed is None:
            assumed = self._assumed[key] = LearnedSpeed.from_settings(settings)
        return assumed


class OutputLengthTable(Table[tuple[str, str], float]):
    """Mean length of answers in tokens, by route and organisation."""

    def learn(self, key: tuple[str, str], output_tokens: int) -> None:
        """Take one answer's length into the mean."""
        mean = self.get(key)
        if mean is None:
            self.put(key, float(output_tokens))
        else:
            self.put(key, mean + _LENGTH_WEIGHT * (output_tokens - mean))


@dataclass(frozen=True)
class AnswerTime:
    """How long answers take from their dispatch, and how much that varies.

    Mean and mean deviation are followed as in V. Jacobson, "Congestion Avoidance and Control",
    SIGCOMM 1988.
    """

    mean_ms: float
    deviation_ms: float

    def with_sample(self, took_ms: float) -> "AnswerTime":
        """Return a copy that has seen one more answer."""
        error_ms = took_ms - self.mean_ms
        return AnswerTime(
            self.mean_ms + _ANSWER_WEIGHT * error_ms,
            self.deviation_ms + _ANSWER_WEIGHT * (abs(error_ms) - self.deviation_ms),
        )

    def usual_ms(self, deviations: float) -> float:
        """Return the mean and so many deviations."""
        return self.mean_ms + deviations * self.deviation_ms


class AnswerTimeTable(Table[tuple[str, str], AnswerTime]):
    """Answer times by route and organisation."""

    def learn(self, key: tuple[str, str], took_ms: float) -> None:
        """Take one answer's time in."""
        known = self.get(key)
        row = AnswerTime(took_ms, took_ms / 2) if known is None else known.with_sample(took_ms)
        self.put(key, row)
