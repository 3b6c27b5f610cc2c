"""Differences between views, which peers pass on to each other."""

from dataclasses import replace

from azureturn.gateway.decisions.tests.gateway_core_harness import upstream
from azureturn.gateway.site import (
    RegisteredVm,
    SiteView,
    StoredDocument,
    ViewDifference,
    join_revision,
)


def _entry(name: str, revision: int, **fields: object) -> StoredDocument:
    return StoredDocument(name, revision, b"%d" % revision, upstream(name, **fields))


def _view(*entries: StoredDocument, revision: int = 10) -> SiteView:
    return SiteView().replaced_by(entries, revision)


def _changes(view: SiteView, revision: int) -> ViewDifference:
    difference = view.changes_since(revision)
    assert difference is not None
    return difference


def test_a_renewal_changes_nothing_that_peers_have_to_learn() -> None:
    view = _view(_entry("u1", 5))
    renewed = view.with_changes(written=[_entry("u1", 12)], revision=12)
    assert (renewed.revision, renewed.changed_revision) == (12, view.changed_revision)
    assert renewed.digest == view.digest
    assert not _changes(renewed, 10).written


def test_a_view_with_a_difference_is_the_peers_view() -> None:
    follower = _view(_entry("u1", 5), _entry("u2", 6))
    peer = follower.with_changes(
        written=[_entry("u2", 11, is_leaving=True), _entry("u3", 12)],
        removals={"u1": 13},
        revision=20,
    )
    caught_up = follower.with_difference(_changes(peer, follower.revision))
    assert caught_up.digest == peer.digest
    assert (caught_up.revision, caught_up.changed_revision) == (20, 13)
    assert caught_up.upstreams.keys() == {"u2", "u3"}


def test_the_removal_of_an_entry_that_the_peer_never_saw_is_passed_on() -> None:
    """The entry was written and removed between two calls of the peer, but not of the follower."""
    first = _view(_entry("u1", 5))
    follower = first.with_changes(written=[_entry("u2", 11)], revision=11)
    peer = first.with_changes(written=[], removals={"u2": 12}, revision=14)
    caught_up = follower.with_difference(_changes(peer, follower.revision))
    assert caught_up.upstreams.keys() == {"u1"}


def test_an_entry_that_was_removed_and_written_again_as_before_is_passed_on() -> None:
    """The peer saw only the removal, and would have gone without the entry."""
    first = _view(_entry("u1", 5))
    follower = first.with_changes(written=[], removals={"u1": 10}, revision=10)
    written_again = replace(_entry("u1", 11), changed_revision=11)
    peer = first.with_changes(written=[written_again], removals={}, revision=15)
    caught_up = follower.with_difference(_changes(peer, follower.revision))
    assert caught_up.upstreams.keys() == {"u1"}


def test_another_document_that_is_written_again_is_a_change() -> None:
    """An order that an operator repeats begins anew."""
    rows = [StoredDocument("k", revision, b"v", RegisteredVm("v", "h", 1)) for revision in (5, 6)]
    assert rows[0].digest != rows[1].digest


def test_views_that_differ_by_a_change_that_was_undone_have_different_digests() -> None:
    """The peer saw neither the change nor that it was undone, and must not vouch for it."""
    first = _view(_entry("u1", 5))
    follower = first.with_changes(written=[_entry("u1", 11, is_leaving=True)], revision=11)
    peer = first.with_changes(written=[_entry("u1", 12)], revision=14)
    assert peer.digest != follower.digest


def test_no_difference_reaches_beyond_a_view_that_was_read_as_a_whole_or_its_era() -> None:
    view = _view(_entry("u1", 5), revision=10).replaced_by([_entry("u1", 5)], 30)
    assert view.changes_since(20) is None
    assert view.changes_since(30) is not None
    view = _view(_entry("u1", join_revision(2, 5)), revision=join_revision(2, 9))
    assert view.changes_since(join_revision(1, 9)) is None


def test_a_view_remembers_a_limited_number_of_removals() -> None:
    view = _view(_entry("u1", 5))
    for revision in range(11, 600):
        view = view.with_changes(written=[], removals={f"k{revision}": revision}, revision=revision)
    assert len(view.removals) <= 256
    assert view.changes_since(11) is None
    assert len(_changes(view, 590).removals) == 9
