"""What a model engine answers: its tokens, and the OpenAI form around them.

Owns: nothing.
Relies on: a token depending on its prompt and index alone, so that any engine continues
another's answer.
"""

import hashlib
import json
import time
import typing as t


def token_text(prompt: list[str], index: int) -> str:
    """Return the token at an index of the answer; any replica gives the same one."""
    seed = hashlib.blake2b(" ".join(prompt).encode() + index.to_bytes(4, "big"), digest_size=3)
    return f"{seed.hexdigest()} "


def prompt_tokens(body: dict[str, t.Any]) -> list[str]:
    """Return the words of all messages of a request."""
    texts = [str(message.get("content", "")) for message in body.get("messages", [])]
    return " ".join(texts).split()


class Answer:
    """Formats an answer in the OpenAI form."""

    def __init__(self, identity: str, body: dict[str, t.Any], prompt: list[str]) -> None:
        self._head = {"id": identity, "created": int(time.time()), "model": body["model"]}
        self._prompt_tokens = len(prompt)

    def chunk(self, text: str, finished: bool = False) -> bytes:
        """Return one server-sent event."""
        delta = {} if finished else {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": "stop" if finished else None}
        body = {**self._head, "object": "chat.completion.chunk", "choices": [choice]}
        return b"data: " + json.dumps(body, separators=(",", ":")).encode() + b"\n\n"

    def whole(self, text: str, count: int, finish: str | None) -> dict[str, t.Any]:
        """Return a whole answer."""
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": finish}
        usage = {
            "prompt_tokens": self._prompt_tokens,
            "completion_tokens": count,
            "total_tokens": self._prompt_tokens + count,
        }
        return {**self._head, "object": "chat.completion", "choices": [choice], "usage": usage}
