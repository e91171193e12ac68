"""Asks other hosts to admit this member to the Raft group, or forms a group if there is none.

A Raft group is the set of members that keep the replicated log; each member belongs to the data
folder of one host. A member that has not been admitted receives no log. Founders are the hosts that
become the first members of a new group; the first of them forms it once all others have answered
that they have no group. The leader is the member that accepts changes of the log and of the group.
The inner protocol is the one in which the hosts of the cluster talk to each other.
"""

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

# Seconds between two rounds of requests. Short enough for several rounds within the time in which
# a member with a replaced disk must be admitted again.
JOIN_INTERVAL_S = 0.5
# Longest wait for the reply of one host.
JOIN_CALL_TIMEOUT_S = 0.5

_log = get_logger("consensus")


class Admission:
    """Requests admission for a member that is not part of a group or hears no leader.

    Parameters
    ----------
    member
        The member to be admitted.
    addresses
        Gives the hosts to ask and their addresses.
    codec
        Encodes and authenticates the messages of the inner protocol.
    """

    def __init__(self, member: Member, addresses: AddressBook, codec: WireCodec) -> None:
        self._member = member
        self._addresses = addresses
        self._clients = RpcClients(codec)

    async def run(
        self,
        is_needed: Callable[[], bool],
        member_hosts: Callable[[], tuple[str, ...]],
        form_group: Callable[[tuple[Member, ...]], None],
    ) -> None:
        """Request admission whenever it is needed, until cancelled.

        Parameters
        ----------
        is_needed
            Returns whether admission is needed now.
        member_hosts
            Returns the hosts of the group as this member knows it.
        form_group
            Called with the first members if this member is to form a new group.

        Notes
        -----
        The replies do not admit this member: the leader records the request and changes the
        membership later. Until then the request is repeated every ``JOIN_INTERVAL_S``.
        """
        known_hosts = set(member_hosts())
        try:
            while True:
                if is_needed():
                    replies = await self._send_join_requests(known_hosts)
                    # Each reply names the hosts of the group; they are asked in the next round.
                    known_hosts.update(chain.from_iterable(reply.hosts for reply in replies))
                    first_members = self._bootstrap_members(replies)
                    if first_members:
                        form_group(first_members)
                await asyncio.sleep(JOIN_INTERVAL_S)
        finally:
            self._clients.close()

    async def _send_join_requests(self, known_hosts: set[str]) -> list[JoinReply]:
        """Send a request to each host that may admit this member; return the replies received."""
        hosts = set(self._addresses.admission_contacts(known_hosts)) - {self._member.host}
        replies = await asyncio.gather(*(self._send_join_request(host) for host in hosts))
        return [reply for reply in replies if reply is not None]

    async def _send_join_request(self, host: str) -> JoinReply | None:
        """Return the reply of one host, or None if it has no address or does not answer."""
        url = self._addresses.url(host)
        if url is None:
            return None
        try:
            return await self._clients.client_for(url).call(
                JoinRequest(self._member), JOIN_CALL_TIMEOUT_S
            )
        except PeerError as error:
            _log.debug("Host %s does not answer a request to join: %s.", host, error)
            return None

    def _bootstrap_members(self, replies: list[JoinReply]) -> tuple[Member, ...]:
        """Return the members of a new group if this member has to form it now, else none.

        Only the first founder forms a group, so that two hosts do not form one each. It needs a
        reply of every other founder, and no reply may say that a group exists (``initialised``).
        ``member`` of a reply is the member that answered.
        """
        # Host names.
        founders = self._addresses.founders()
        if not founders or founders[0] != self._member.host:
            return ()
        founder_members = [reply.member for reply in replies if reply.member.host in founders]
        # The 1 is this host, which does not ask itself.
        if len(founder_members) < len(founders) - 1 or any(reply.initialised for reply in replies):
            return ()
        return (self._member, *founder_members)
