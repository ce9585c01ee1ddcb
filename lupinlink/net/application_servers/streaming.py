"""Which answers are streamed to the client before their end. No I/O."""

from __future__ import annotations

from lupinlink.net import http1

# An answer is streamed once this much of it is here. If its declared length exceeds a small body, the lower
# limit holds, or none at the end of its request's time; small ones are never streamed, so that a wrong length
# is noticed while a retry is still possible. If no length is declared, an answer longer than most is likely
# to be a long one.
MIN_STREAMED_BYTES, MIN_STREAMED_UNDECLARED_BYTES = 2 * 1024, 16 * 1024


def is_streamable(answer: http1.ResponseParser, least_bytes: int, collected_bytes: int) -> bool:
    """Whether an answer that is being received is known to be long enough to be streamed.

    ``least_bytes``: of its body that have to be here, if its length is declared; ``collected_bytes``: longer
    ones are not collected to their end.
    """
    head, length = answer.head, answer.length
    if head is None or head.status != 200:
        return False
    if length is None:
        return answer.body_received > min(MIN_STREAMED_UNDECLARED_BYTES, collected_bytes)
    return length > collected_bytes and answer.body_received >= least_bytes
