"""Client of the rating service, which judges whether the answer of a model is good."""

from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from baobabstream.backends.strict_http import StrictConnector, read_json
from baobabstream.telemetry.logs import get_logger

__all__ = ["RatingClient", "RatingQuestion"]

# Largest number of ratings that run at the same time, since each uses one connection. It limits the
# load that ratings in the background put on the rating service.
MAX_CONNECTIONS = 32
# Largest reply that is read; it holds one field.
MAX_REPLY_BYTES = 64 * 1024

_log = get_logger("backends")


@dataclass(frozen=True, slots=True)
class RatingQuestion:
    """An answer to be rated, with the question that it answers.

    Parameters
    ----------
    request
        Identity of the request.
    model, version
        Model and model version that answered.
    question
        Messages of the chat request, as decoded JSON.
    answer
        Text of the answer.
    """

    request: str
    model: str
    version: str
    question: Any
    answer: str


class RatingClient:
    """Client of the rating service.

    Parameters
    ----------
    url
        Base address of the rating service.
    timeout_s
        Limit in seconds on one rating.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = f"{url.rstrip('/')}/v1/ratings"
        # ``force_close`` uses a new connection for each rating. A reply names no request, so on a
        # pooled connection a second copy of one would be taken for the rating of another answer.
        self._session = ClientSession(
            connector=StrictConnector(limit=MAX_CONNECTIONS, force_close=True),
            timeout=ClientTimeout(total=timeout_s),
        )

    async def rate(self, question: RatingQuestion) -> bool | None:
        """Return whether the answer is good, or None if the service gave no valid rating.

        A valid rating has status 200 and a JSON object with the boolean field ``good``.
        ``question`` holds both the question and the answer to rate.
        """
        body = {
            "request": question.request,
            "model": question.model,
            "version": question.version,
            "question": question.question,
            "answer": question.answer,
        }
        try:
            async with self._session.post(self._url, json=body) as response:
                if response.status != 200:
                    return None
                reply = await read_json(response, MAX_REPLY_BYTES)
        except (ClientError, TimeoutError, OSError) as error:
            _log.warning("Rating of %s failed: %s.", question.request, type(error).__name__)
            return None
        is_good = reply.get("good") if isinstance(reply, dict) else None
        return is_good if isinstance(is_good, bool) else None

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()
