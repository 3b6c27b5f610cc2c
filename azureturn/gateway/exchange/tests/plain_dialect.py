"""A dialect for tests: the names and formats of headers, in place of a platform's."""

from collections.abc import Mapping

from azureturn.gateway.site import AttemptHeaders, RequestFacts, ResponseFacts, StatedAvailability


class PlainDialect:
    """Uses short header names without a prefix."""

    readiness_path = "/ready"

    def decode_request_headers(self, headers: Mapping[str, str]) -> RequestFacts:
        """Return the facts in a caller's headers."""
        if "request" not in headers:
            raise ValueError("request is missing")
        caller_timeout = headers.get("patience")
        return RequestFacts(
            request_id=headers["request"],
            caller_timeout_ms=int(caller_timeout) if caller_timeout else None,
            api_key=headers.get("key", ""),
            prompt=None,
            last_event_number=None,
        )

    def encode_attempt_headers(
        self, headers: list[tuple[str, str]], attempt: AttemptHeaders
    ) -> list[tuple[str, str]]:
        """Return the caller's headers together with those of the attempt."""
        forwarded = [
            header for header in headers if header[0].lower() not in ("content-length", "key")
        ]
        if attempt.last_event_number is not None:
            forwarded.append(("After", str(attempt.last_event_number)))
        return [*forwarded, ("Time-Left", str(attempt.time_left_ms)), ("Only", attempt.upstream)]

    def decode_response_headers(self, headers: Mapping[str, str]) -> ResponseFacts:
        """Return the facts in an upstream's headers."""
        retry_after_s = headers.get("retry-after")
        return ResponseFacts(
            headers.get("request", ""),
            "not-run" in headers,
            "seal" in headers,
            availability=StatedAvailability(
                is_leaving="leaving" in headers,
                retry_after_ms=None if retry_after_s is None else 1_000 * int(retry_after_s),
            ),
        )

    def encode_refusal_headers(
        self, retry_after_ms: int | None, request_id: str
    ) -> list[tuple[str, str]]:
        """Return the headers of a refusal."""
        return [("Back-In-Ms", str(retry_after_ms))] if retry_after_ms is not None else []
