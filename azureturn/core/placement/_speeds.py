"""Moving averages of upstream speeds, answer times and answer lengths."""

from dataclasses import dataclass

from azureturn.core._upstreams import Upstream
from azureturn.framework import Table
from azureturn.framework import changed_row as changed
from azureturn.settings import UpstreamSettings

_MS_PER_S = 1_000.0
#: Weights of a new sample in the moving averages; the weight of a prefill sample depends on whether
#: it is below or above the average.
_DECODE_WEIGHT = 0.15
_PREFILL_DOWN_WEIGHT = 0.2
_PREFILL_UP_WEIGHT = 0.02
_LENGTH_WEIGHT = 0.05
_ANSWER_WEIGHT = 0.05
#: Prompts with fewer computed (uncached) tokens than this are too short to measure the prefill
#: speed.
_PREFILL_SAMPLE_TOKENS = 200
#: After this time without a sample, the configured decode speed replaces a slower measured one.
_DECODE_SAMPLE_TTL_MS = 5_000


@dataclass(frozen=True)
class LearnedSpeed:
    """Recent speed of an upstream under its actual load."""

    #: Time between two consecutive output tokens.
    decode_ms_per_token: float
    #: Time to compute one uncached prompt token.
    prefill_ms_per_token: float
    #: Mean time from the dispatch of a request to the end of its answer; 0 until measured.
    answer_ms: float = 0.0
    #: Number of decode samples.
    samples: int = 0
    sampled_at_ms: int = 0

    @classmethod
    def from_settings(cls, settings: UpstreamSettings) -> "LearnedSpeed":
        """Return the configured speeds, which are assumed until measured."""
        return cls(
            decode_ms_per_token=_MS_PER_S / settings.decode_tokens_per_s,
            prefill_ms_per_token=_MS_PER_S / settings.prefill_tokens_per_s,
        )

    def current_decode_ms_per_token(self, settings: UpstreamSettings, now_ms: int) -> float:
        """Return the time per output token from recent samples.

        Without recent samples the configured speed applies if it is faster, so that an upstream
        that was slow and therefore receives no requests is tried again.
        """
        if not self.samples or now_ms - self.sampled_at_ms <= _DECODE_SAMPLE_TTL_MS:
            return self.decode_ms_per_token
        return min(self.decode_ms_per_token, _MS_PER_S / settings.decode_tokens_per_s)

    def with_token_interval(self, ms_per_token: float, *, now_ms: int) -> "LearnedSpeed":
        """Return a copy updated with one interval between output tokens."""
        weight = max(_DECODE_WEIGHT, 1.0 / (1 + self.samples))
        mean_ms_per_token = self.decode_ms_per_token + weight * (
            ms_per_token - self.decode_ms_per_token
        )
        return changed(
            self,
            decode_ms_per_token=mean_ms_per_token,
            samples=self.samples + 1,
            sampled_at_ms=now_ms,
        )

    def with_answer(self, took_ms: float) -> "LearnedSpeed":
        """Return a copy updated with the duration of one answer."""
        if not self.answer_ms:
            return changed(self, answer_ms=took_ms)
        mean_ms = self.answer_ms + _ANSWER_WEIGHT * (took_ms - self.answer_ms)
        return changed(self, answer_ms=mean_ms)

    def with_first_token(self, waited_ms: float, computed_tokens: int) -> "LearnedSpeed":
        """Return a copy updated with one time to first token; short prompts are ignored.

        Most samples include queueing time besides the prefill time, so samples below the average
        get a larger weight.
        """
        if computed_tokens < _PREFILL_SAMPLE_TOKENS:
            return self
        sample = waited_ms / computed_tokens
        is_lower = sample < self.prefill_ms_per_token
        weight = _PREFILL_DOWN_WEIGHT if is_lower else _PREFILL_UP_WEIGHT
        change = weight * (sample - self.prefill_ms_per_token)
        return changed(self, prefill_ms_per_token=self.prefill_ms_per_token + change)


class SpeedTable(Table[str, LearnedSpeed]):
    """Learned speeds by upstream."""

    def __init__(self) -> None:
        super().__init__()
        self._configured_speeds: dict[tuple[float, float], LearnedSpeed] = {}
        #: The speed last learned for any upstream, by its hardware.
        self._by_hardware: dict[str, LearnedSpeed] = {}

    def learn(self, upstream: Upstream, speed: LearnedSpeed) -> None:
        """Store the speed of an upstream."""
        self.put(upstream.settings.name, speed)
        speed_without_samples = changed(speed, samples=0, sampled_at_ms=0)
        self._by_hardware[upstream.settings.hardware] = speed_without_samples

    def of(self, upstream: Upstream) -> LearnedSpeed:
        """Return the speed learned for an upstream, else for its hardware, else the configured one.

        Without the fallback to the hardware, an upstream without samples would seem slower or
        faster than identical upstreams only because of the settings, and might never be chosen.
        """
        learned = self.get(upstream.settings.name)
        if learned is not None:
            return learned
        hardware_speed = self._by_hardware.get(upstream.settings.hardware)
        return (
            self._configured_speed(upstream.settings) if hardware_speed is None else hardware_speed
        )

    def _configured_speed(self, settings: UpstreamSettings) -> LearnedSpeed:
        key = (settings.decode_tokens_per_s, settings.prefill_tokens_per_s)
        configured = self._configured_speeds.get(key)
        if configured is None:
            configured = self._configured_speeds[key] = LearnedSpeed.from_settings(settings)
        return configured


class OutputLengthTable(Table[tuple[str, str], float]):
    """Mean answer length in tokens, by route and organisation."""

    def learn(self, key: tuple[str, str], output_tokens: int) -> None:
        """Add the length of one answer to the mean."""
        mean = self.get(key)
        if mean is None:
            self.put(key, float(output_tokens))
        else:
            self.put(key, mean + _LENGTH_WEIGHT * (output_tokens - mean))


@dataclass(frozen=True)
class AnswerTime:
    """Mean and mean deviation of the time from dispatch to the end of the answer.

    Both are estimated as in V. Jacobson, "Congestion Avoidance and Control", SIGCOMM 1988.
    """

    mean_ms: float
    deviation_ms: float

    def with_sample(self, took_ms: float) -> "AnswerTime":
        """Return a copy updated with one answer."""
        error_ms = took_ms - self.mean_ms
        return AnswerTime(
            self.mean_ms + _ANSWER_WEIGHT * error_ms,
            self.deviation_ms + _ANSWER_WEIGHT * (abs(error_ms) - self.deviation_ms),
        )

    def upper_estimate_ms(self, deviations: float) -> float:
        """Return the mean plus the given number of deviations."""
        return self.mean_ms + deviations * self.deviation_ms


class AnswerTimeTable(Table[tuple[str, str], AnswerTime]):
    """Answer times by route and organisation."""

    def learn(self, key: tuple[str, str], took_ms: float) -> None:
        """Add the duration of one answer."""
        previous = self.get(key)
        row = (
            AnswerTime(took_ms, took_ms / 2) if previous is None else previous.with_sample(took_ms)
        )
        self.put(key, row)
