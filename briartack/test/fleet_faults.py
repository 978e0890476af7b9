"""Faults of daemons, streams and instance records for random plays.

Each function begins a fault and schedules its end. Machines that a fault
disturbs are not in touch, so the rules of the platform excuse them.
"""

from functools import partial
from typing import Final

from briartack.core import messages as wire
from briartack.core.dissemination.pending_pulls import PULL_TIMEOUT_SECONDS
from briartack.test.fault_play import FaultPlay
from briartack.test.faulty_fleet import STORE
from briartack.test.fleet import TICK_SECONDS, Node

MAX_JOINED: Final = 6
MIN_FLEET_SIZE: Final = 6


def _stop(play: FaultPlay, names: list[str], kind: str) -> None:
    """End daemons and start them again later."""
    fleet = play.fleet
    for name in names:
        if name not in fleet.nodes:
            continue
        if kind == 'stopped':
            node = fleet.nodes[name]
            goodbye = wire.Goodbye(incarnation=node.hello.incarnation)
            for peer in tuple(fleet.nodes):
                fleet.send(name, peer, goodbye)
            fleet.run(TICK_SECONDS)
        fleet.kill(name, has_power=kind != 'without power')
        seconds = play.random.choice(
            (0.3, play.random.uniform(0.2, 1), play.random.uniform(1, 9))
        )
        play.log(f'{name} {kind} for {seconds:.1f}')
        play.until(seconds, partial(_start, play, name), {name})


def _start(play: FaultPlay, name: str) -> None:
    if name not in play.fleet.nodes:
        play.log(f'{name} starts')
        play.fleet.start(name)


def restart(play: FaultPlay) -> None:
    """Kill or stop daemons."""
    kind = play.random.choice(('killed', 'stopped', 'without power'))
    _stop(play, play.pick(3), kind)


def restart_group(play: FaultPlay) -> None:
    """Kill all daemons of a zone or a region."""
    _stop(play, sorted(play.pick_group()), 'killed')


def restart_all(play: FaultPlay) -> None:
    """Kill all daemons."""
    _stop(play, sorted(play.fleet.nodes), 'killed')


def freeze(play: FaultPlay) -> None:
    """Pause daemons."""
    fleet = play.fleet
    for name in play.pick(3):
        seconds = play.random.choice(
            (play.random.uniform(0.1, 1), play.random.uniform(1, 8))
        )
        play.log(f'{name} frozen for {seconds:.1f}')
        node = fleet.nodes[name]
        node.is_frozen = True
        play.until(seconds, partial(_resume, play, name, node), {name})


def suspend(play: FaultPlay) -> None:
    """Suspend machines; their steady clocks stand still meanwhile."""
    for name in play.pick(3):
        seconds = play.random.uniform(0.3, 6)
        play.log(f'{name} suspended for {seconds:.1f}')
        node = play.fleet.nodes[name]
        node.is_frozen = True
        play.until(seconds, partial(_wake, play, name, node, seconds), {name})


def _wake(play: FaultPlay, name: str, node: Node, seconds: float) -> None:
    if play.fleet.nodes.get(name) is node:
        play.fleet.lag_clock(name, seconds)
        play.fleet.resume(name)


def _resume(play: FaultPlay, name: str, node: Node) -> None:
    if play.fleet.nodes.get(name) is node:
        play.fleet.resume(name)


def cut(play: FaultPlay) -> None:
    """Cut a group from all other daemons, both ways or one way."""
    group = play.pick_group()
    direction = play.random.choice(('both', 'from', 'to'))
    seconds = play.random.uniform(0.3, 9)
    play.log(f'cut {direction} {sorted(group)} for {seconds:.1f}')
    block = partial(_is_across, group, direction)
    play.fleet.block(block)
    play.until(seconds, partial(play.fleet.unblock, block), set())


def cut_pair(play: FaultPlay) -> None:
    """Cut two groups from each other."""
    first, second = play.pick_group(), play.pick_group()
    seconds = play.random.uniform(0.3, 9)
    play.log(f'cut {sorted(first)} {sorted(second)} for {seconds:.1f}')
    block = partial(_is_between, first, second)
    play.fleet.block(block)
    play.until(seconds, partial(play.fleet.unblock, block), set())


def cut_store(play: FaultPlay) -> None:
    """Cut a group from the store; that ends its path to the platform."""
    group = play.pick_group()
    seconds = play.random.uniform(0.3, 9)
    direction = play.random.choice(('both', 'from', 'to'))
    play.log(f'cut store {direction} {sorted(group)} for {seconds:.1f}')
    block = partial(_is_to_store, group, direction)
    play.fleet.block(block)
    play.until(seconds, partial(play.fleet.unblock, block), group)


def isolate(play: FaultPlay) -> None:
    """Cut a group from the store and all other daemons."""
    group = play.pick_group()
    seconds = play.random.uniform(0.3, 9)
    play.log(f'isolate {sorted(group)} for {seconds:.1f}')
    block = partial(_is_isolated, group)
    play.fleet.block(block)
    play.until(seconds, partial(play.fleet.unblock, block), group)


def silence(play: FaultPlay) -> None:
    """Silence all open streams; it counts as a reset of all machines."""
    play.log('all streams silent')
    play.fleet.silence_streams(play.fleet.names)
    play.disturb_now(set(play.fleet.names))


def silence_some(play: FaultPlay) -> None:
    """Silence the open streams of some daemons."""
    names = play.pick(3)
    play.log(f'streams silent: {names}')
    play.fleet.silence_streams(names)
    play.disturb_now(set(play.fleet.names))


def reset(play: FaultPlay) -> None:
    """Reset the streams of some daemons or of all."""
    names = play.random.choice((play.pick(3), list(play.fleet.names)))
    play.log(f'streams reset: {names}')
    play.fleet.reset_streams(names)
    play.disturb_now(set(names))


def slow_down(play: FaultPlay) -> None:
    """Delay all messages of some daemons."""
    added = play.random.choice((0.1, 0.3, 0.7, 1.5))
    names = set(play.pick(4 if added < PULL_TIMEOUT_SECONDS else 1))
    seconds = play.random.uniform(1, 9)
    play.log(f'slow by {added}: {sorted(names)} for {seconds:.1f}')
    slow = (frozenset(names), added)
    play.slow.append(slow)
    play.until(seconds, partial(play.slow.remove, slow), names)


def lapse(play: FaultPlay) -> None:
    """Let records lapse and return."""
    names = play.random.choice((play.pick(3), sorted(play.pick_group())))
    for name in names:
        if f'instances/{name}' not in play.fleet.store.edits:
            continue
        seconds = play.random.uniform(0.3, 6)
        play.log(f'record of {name} lapses for {seconds:.1f}')
        play.edit(f'instances/{name}', None)
        again = partial(play.edit, f'instances/{name}', name)
        play.until(seconds, again, set())


def list_lags(play: FaultPlay) -> None:
    """Let reads of the list return an older state."""
    store = play.fleet.store
    play.fleet.list_copy = (store.revision, store.read('instances/'))
    seconds = play.random.uniform(0.5, 6)
    play.log(f'list lags for {seconds:.1f}')
    play.until(seconds, partial(_list_current, play), set())


def _list_current(play: FaultPlay) -> None:
    play.fleet.list_copy = None


def join(play: FaultPlay) -> None:
    """Add a machine, whose record may come before or after its start."""
    if play.joined >= 6:
        return
    play.joined += 1
    centre = play.random.choice(play.fleet.names)[:4]
    name = f'{centre}-j{play.joined}'
    play.fleet.names.append(name)
    delay = play.random.choice((0.0, play.random.uniform(0, 5)))
    first, second = play.random.sample(
        (
            partial(_start, play, name),
            partial(play.edit, f'instances/{name}', name),
        ),
        2,
    )
    play.log(f'{name} joins, in {delay:.1f} complete')
    first()
    play.until(delay, second, {name})


def leave(play: FaultPlay) -> None:
    """Remove a machine for good."""
    if len(play.fleet.names) <= 6:
        return
    name = play.random.choice(play.fleet.names)
    play.log(f'{name} leaves')
    play.fleet.names.remove(name)
    if name in play.fleet.nodes:
        play.fleet.kill(name)
    if f'instances/{name}' in play.fleet.store.edits:
        play.until(
            play.random.uniform(0, 5),
            partial(play.edit, f'instances/{name}', None),
            set(),
        )


def _is_across(
    group: set[str], direction: str, sender: str, receiver: str
) -> bool:
    if STORE in {sender, receiver}:
        return False
    is_from = sender in group and receiver not in group
    is_to = receiver in group and sender not in group
    return (is_from and direction != 'to') or (is_to and direction != 'from')


def _is_between(
    first: set[str], second: set[str], sender: str, receiver: str
) -> bool:
    return (sender in first and receiver in second) or (
        sender in second and receiver in first
    )


def _is_to_store(
    group: set[str], direction: str, sender: str, receiver: str
) -> bool:
    is_from = sender in group and receiver == STORE
    is_to = receiver in group and sender == STORE
    return (is_from and direction != 'to') or (is_to and direction != 'from')


def _is_isolated(group: set[str], sender: str, receiver: str) -> bool:
    return (sender in group) != (receiver in group)
