"""Replicated log of the control hosts, by the Raft consensus protocol.

The control hosts are the machines that keep the cluster's shared state. They agree on one order of
commands, and each of them applies the commands in this order.
"""
