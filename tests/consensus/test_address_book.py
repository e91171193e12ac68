"""Tests which hosts form a group, which ones may join it, and which addresses they have.

The founders are the first members of a new Raft group. Seeds are the hosts that the settings name;
7340 is the port of all hosts.
"""

from baobabstream.consensus.address_book import FixedAddresses, SeededAddresses


def test_only_the_first_start_founds_a_group():
    """Guards against a second group beside the first, formed by hosts with emptied disks."""
    first = SeededAddresses(("10.0.0.2", "10.0.0.1"), 7340, may_bootstrap=True)
    later = SeededAddresses(("10.0.0.2", "10.0.0.1"), 7340, may_bootstrap=False)
    assert first.founders() == ("10.0.0.1", "10.0.0.2")
    assert later.founders() == ()


def test_other_seeds_do_not_change_the_founders():
    """Guards against two groups formed by different founders after the seeds have changed."""
    book = SeededAddresses(("10.0.0.1",), 7340, may_bootstrap=True)
    book.set_seeds(("10.0.0.9",))
    assert book.founders() == ("10.0.0.1",)
    assert book.admission_contacts(("10.0.0.3", "10.0.0.9")) == ("10.0.0.9", "10.0.0.3")


def test_named_hosts_admit_no_others():
    """Guards against admitting an unknown host to a group whose settings name all members."""
    book = FixedAddresses({"a": "tcp://127.0.0.1:1"})
    assert book.admits("a")
    assert not book.admits("b")
    assert book.url("b") is None
