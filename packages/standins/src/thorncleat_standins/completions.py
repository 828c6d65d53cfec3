"""Generates a model engine's tokens and formats its answers like the OpenAI API.

Owns: nothing.
Relies on: tokens depending only on prompt and index, so that any engine can continue an answer.
"""

import hashlib
import json
import time
import typing as t


def token_text(prompt: list[str], index: int) -> str:
    """Return the token at an index of the answer."""
    seed = hashlib.blake2b(" ".join(prompt).encode() + index.to_bytes(4, "big"), digest_size=3)
    return f"{seed.hexdigest()} "


def prompt_tokens(body: dict[str, t.Any]) -> list[str]:
    """Return the words of all messages of a request."""
    texts = [str(message.get("content", "")) for message in body.get("messages", [])]
    return " ".join(texts).split()


class Answer:
    """Formats the answer to a request."""

    def __init__(self, identity: str, body: dict[str, t.Any], prompt: list[str]) -> None:
        self._head = {"id": identity, "created": int(time.time()), "model": body["model"]}
        self._prompt_tokens = len(prompt)

    def chunk(self, text: str, finished: bool = False) -> bytes:
        """Return a server-sent event with a token."""
        delta = {} if finished else {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": "stop" if finished else None}
        body = {**self._head, "object": "chat.completion.chunk", "choices": [choice]}
        return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"

    def completion(self, text: str, count: int, finish_reason: str | None) -> dict[str, t.Any]:
        """Return the body of an answer that is not streamed."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish_reason}
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self._prompt_tokens + count,
        }
        return {**self._head, "object": "chat.completion", "choices": [choice], "usage": usage}
