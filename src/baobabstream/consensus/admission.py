"""Asks the members of a group for admission, or forms the group if there is none."""

import asyncio
from collections.abc import Callable
from itertools import chain

from baobabstream.consensus.address_book import AddressBook
from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.consensus_messages import JoinReply, JoinRequest, Member
from baobabstream.wire.rpc_clients import RpcClients

__all__ = ["Admission"]

# Several tries within the time in which a repaired member must be back.
JOIN_INTERVAL_S = 0.5
CALL_TIMEOUT_S = 0.5

_log = get_logger("consensus")


class Admission:
    """Asks for a member that is not part of a group, or that hears no leader.

    Parameters
    ----------
    member
        The member that asks.
    addresses
        Finds the hosts to ask.
    codec
        Codec of the inner protocol.
    """

    def __init__(self, member: Member, addresses: AddressBook, codec: WireCodec) -> None:
        self._member = member
        self._addresses = addresses
        self._clients = RpcClients(codec)

    async def run(
        self,
        needed: Callable[[], bool],
        member_hosts: Callable[[], tuple[str, ...]],
        form_group: Callable[[tuple[Member, ...]], None],
    ) -> None:
        """Ask until cancelled.

        Parameters
        ----------
        needed
            Returns whether admission is needed now.
        member_hosts
            Returns the hosts of the group as this member knows it.
        form_group
            Called with the founders once all of them answer that they have no group.
        """
        known = set(member_hosts())
        try:
            while True:
                if needed():
                    replies = await self._ask_all(known)
                    known.update(chain.from_iterable(reply.hosts for reply in replies))
                    founders = self._founders(replies)
                    if founders:
                        form_group(founders)
                await asyncio.sleep(JOIN_INTERVAL_S)
        finally:
            self._clients.close()

    async def _ask_all(self, known: set[str]) -> list[JoinReply]:
        hosts = set(self._addresses.contacts(known)) - {self._member.host}
        replies = await asyncio.gather(*(self._ask(host) for host in hosts))
        return [reply for reply in replies if reply is not None]

    async def _ask(self, host: str) -> JoinReply | None:
        url = self._addresses.url(host)
        if url is None:
            return None
        try:
            return await self._clients.client_for(url).call(
                JoinRequest(self._member), CALL_TIMEOUT_S
            )
        except PeerError as error:
            _log.debug("Host %s does not answer a request to join: %s.", host, error)
            return None

    def _founders(self, replies: list[JoinReply]) -> tuple[Member, ...]:
        """Return the members of a new group if this member forms it, else nothing."""
        founders = self._addresses.founders()
        if not founders or founders[0] != self._member.host:
            return ()
        others = [reply.member for reply in replies if reply.member.host in founders]
        if len(others) < len(founders) - 1 or any(reply.initialised for reply in replies):
            return ()
        return (self._member, *others)
