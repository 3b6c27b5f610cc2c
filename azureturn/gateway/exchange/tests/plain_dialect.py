"""A dialect for tests, in place of the one that a platform adapter provides."""

from collections.abc import Mapping

from azureturn.gateway.site import AnswerFacts, AttemptHeaders, CallerFacts


class PlainDialect:
    """Uses short header names without a prefix."""

    readiness_path = "/ready"

    def decode_caller(self, headers: Mapping[str, str]) -> CallerFacts:
        """Return the facts in a caller's headers."""
        if "request" not in headers:
            raise ValueError("request is missing")
        patience = headers.get("patience")
        return CallerFacts(
            request_id=headers["request"],
            patience_ms=int(patience) if patience else None,
            key=headers.get("key", ""),
            prompt=None,
            last_event_number=None,
        )

    def encode_attempt(
        self, headers: list[tuple[str, str]], attempt: AttemptHeaders
    ) -> list[tuple[str, str]]:
        """Return the caller's headers together with those of the attempt."""
        kept = [header for header in headers if header[0].lower() not in ("content-length", "key")]
        if attempt.last_event_number is not None:
            kept.append(("After", str(attempt.last_event_number)))
        return [*kept, ("Time-Left", str(attempt.time_left_ms)), ("Only", attempt.upstream)]

    def decode_answer(self, headers: Mapping[str, str]) -> AnswerFacts:
        """Return the facts in an upstream's headers."""
        return AnswerFacts(headers.get("request", ""), "not-run" in headers, "seal" in headers)

    def encode_refusal(self, retry_after_ms: int | None, request_id: str) -> list[tuple[str, str]]:
        """Return the headers of a refusal."""
        return [("Back-In-Ms", str(retry_after_ms))] if retry_after_ms is not None else []
