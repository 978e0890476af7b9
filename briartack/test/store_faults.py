"""Faults of the store for random plays.

Each function begins a fault and schedules its end.
"""

from functools import partial
from typing import Final

from briartack.core.entries import Entry
from briartack.core.units import Revision
from briartack.test.fake_holdings import StoreCopy
from briartack.test.fault_play import KEY, FaultPlay
from briartack.test.fleet import TICK_SECONDS

COPY_SECONDS: Final = 6.0
# What was lost is written again within 2 s.
REWRITE_SECONDS: Final = 1.9


def store_down(play: FaultPlay) -> None:
    """Take the store down."""
    if play.fleet.store.is_down:
        return
    seconds = play.random.choice(
        (play.random.uniform(0.2, 2), play.random.uniform(2, 12))
    )
    play.log(f'store down for {seconds:.1f}')
    play.fleet.store.is_down = True
    play.fleet.fail_watches()
    play.store_until(seconds, partial(_store_up, play))


def _store_up(play: FaultPlay) -> None:
    play.fleet.store.is_down = False


def store_slow(play: FaultPlay) -> None:
    """Slow the store down."""
    seconds = play.random.uniform(0.5, 8)
    added = play.random.choice((0.3, 1.0, 2.5, 4.0))
    play.log(f'store slow by {added} for {seconds:.1f}')
    near = play.near
    play.fleet.store_seconds = lambda name: near(name) + added
    play.store_until(seconds, partial(_store_fast, play))


def _store_fast(play: FaultPlay) -> None:
    play.fleet.store_seconds = play.near


def store_silent(play: FaultPlay) -> None:
    """Let the store ignore the calls of some daemons or of all."""
    names = _pick_ignored(play)
    seconds = play.random.uniform(0.3, 8)
    play.log(f'store silent to {sorted(names)} for {seconds:.1f}')
    play.fleet.is_store_silent = names.__contains__
    play.store_until(seconds, partial(_store_speaks, play))


def _store_speaks(play: FaultPlay) -> None:
    play.fleet.is_store_silent = lambda name: False


def watches_silent(play: FaultPlay) -> None:
    """Let the store ignore all watches."""
    seconds = play.random.uniform(0.3, 8)
    play.log(f'watches silent for {seconds:.1f}')
    play.fleet.are_watches_silent = True
    play.store_until(seconds, partial(_watches_speak, play))


def _watches_speak(play: FaultPlay) -> None:
    play.fleet.are_watches_silent = False


def store_refuses(play: FaultPlay) -> None:
    """Let the store refuse some daemons."""
    names = _pick_ignored(play)
    retry_after = play.random.choice((None, 0.2, 1.0, 2.0))
    seconds = play.random.uniform(0.3, 8)
    play.log(f'store refuses {sorted(names)} for {seconds:.1f}, {retry_after}')
    play.fleet.refusal_of = partial(_refuse, names, retry_after or 0)
    play.store_until(seconds, partial(_store_accepts, play), is_hard=False)


def _store_accepts(play: FaultPlay) -> None:
    play.fleet.refusal_of = lambda name: None


def answers_lost(play: FaultPlay) -> None:
    """Let some answers of the store be lost."""
    seconds = play.random.uniform(0.3, 5)
    share = play.random.choice((0.3, 0.7, 1.0))
    play.log(f'answers lost, {share} for {seconds:.1f}')
    play.fleet.is_answer_lost = lambda name: play.random.random() < share
    play.store_until(seconds, partial(_answers_return, play))


def _answers_return(play: FaultPlay) -> None:
    play.fleet.is_answer_lost = lambda name: False


def history_dropped(play: FaultPlay) -> None:
    """Let the store drop its history."""
    play.log('history dropped')
    play.fleet.history_from = play.fleet.store.revision
    play.store_until(0.1, lambda: None, is_hard=False)


def restore(play: FaultPlay) -> None:
    """Let the store return with a copy."""
    store = play.fleet.store
    if store.is_down or len(play.copies) <= COPY_SECONDS / TICK_SECONDS:
        return
    age = round(play.random.uniform(0.2, COPY_SECONDS) / TICK_SECONDS)
    copy = play.copies[-age]
    lost = store.copy()
    seconds = play.random.uniform(0.2, 2.5)
    play.log(f'store away for {seconds:.1f}, then a copy from {age}')
    store.is_down = True
    play.fleet.fail_watches()
    play.store_until(seconds, partial(_return_copy, play, copy, lost))


def _return_copy(play: FaultPlay, copy: StoreCopy, lost: StoreCopy) -> None:
    play.fleet.store.restore(copy)
    play.fleet.store.is_down = False
    play.fleet.list_copy = None
    play.fleet.history_from = Revision(0)
    play.copies.clear()
    changed = [
        entry
        for key, entry in lost.edits.items()
        if copy.edits.get(key) != entry
    ]
    for entry in changed:
        seconds = play.random.uniform(0, REWRITE_SECONDS)
        play.store_until(seconds, partial(_write_entry, play, entry))


def _write_entry(play: FaultPlay, entry: Entry) -> None:
    if entry.key == KEY:
        play.write()
    else:
        play.edit(entry.key, entry.value)


def _pick_ignored(play: FaultPlay) -> set[str]:
    """Return a group, some daemons or all."""
    return play.random.choice(
        (play.pick_group(), set(play.pick(4)), set(play.fleet.names))
    )


def _refuse(names: set[str], retry_after: float, name: str) -> float | None:
    return retry_after if name in names else None
