"""Passes answers that aren't streams on to callers.

Owns: nothing.
Relies on: :class:`.endpoint_client.Exchange` to bound what is read of an answer.
"""

from .caller_response import CallerStream
from .exchange import EndpointAnswer
from .exchange import Exchange


async def pass_on_whole(
    answer: EndpointAnswer, caller: CallerStream, *, states_length: bool
) -> None:
    """Pass on an answer whose body is complete.

    :param states_length: whether the head states its length; that of a streaming route doesn't.
    """
    headers = list(answer.headers)
    if states_length:
        headers.append(("Content-Length", str(len(answer.body))))
    await caller.begin(answer.status, headers)
    if answer.body:
        await caller.write(answer.body)
    await caller.end()


async def pass_on_large(answer: EndpointAnswer, exchange: Exchange, caller: CallerStream) -> None:
    """Pass on the first part of an answer, and then the rest as it comes.

    No more is read of the endpoint while the caller doesn't read.

    :raises AttemptError: if the rest doesn't come.
    """
    headers = list(answer.headers)
    if exchange.stated_length is not None:
        headers.append(("Content-Length", str(exchange.stated_length)))
    await caller.begin(answer.status, headers)
    data = answer.body
    while data:
        await caller.write(data)
        data = await exchange.read_chunk()
    await caller.end()
