"""Merging of received entries into the state, and reports of the changes.

All changes of the configuration and of the instance list take this path,
whether the entries come from the store or from a peer.
"""

from typing import Final

from briartack.core.audit_trail import AuditFields
from briartack.core.configuration.snapshot import Snapshot, SnapshotChange
from briartack.core.dissemination import dissemination
from briartack.core.dissemination.dissemination import STORE_SOURCE
from briartack.core.dissemination.instance_records import record_id_of
from briartack.core.effects import (
    Count,
    Effects,
    LimitCallers,
    LogLevel,
    WakeAt,
    WriteAudit,
    WriteLog,
)
from briartack.core.entries import INSTANCE_PREFIX, Entry, is_instance_key
from briartack.core.state import State
from briartack.core.units import MILLISECONDS_PER_SECOND, format_revision

MAX_LOGGED_RECORDS: Final = 10


def merge(
    state: State, now: float, received: dissemination.ReceivedEntries
) -> Effects:
    """Apply received entries; return the effects that report the changes.

    The effects are audit records, log lines, counters and announcements to
    peers.
    """
    effects = list(received.effects)
    if not received.entries and received.full_read_prefix is None:
        return effects
    before = state.configuration.snapshot
    change = _apply_configuration(state, received)
    snapshot = state.configuration.snapshot
    if snapshot is not None and change.is_changed:
        state.membership.name_services(snapshot.services)
    changed_instances = _apply_instances(state, now, received)
    effects.extend(
        _report_changes(state, change, received.source or STORE_SOURCE, before)
    )
    if changed_instances:
        effects.append(
            _make_instances_log_line(state, changed_instances, received)
        )
        effects.extend(_wake_for_own_record(state, now, changed_instances))
    effects.extend(
        dissemination.on_merged(
            state.dissemination,
            now,
            changed=change.is_changed or bool(changed_instances),
            holdings=state.holdings,
            source=received.source,
        ),
    )
    return effects


def snapshot_fields(snapshot: Snapshot) -> AuditFields:
    """Return the audit fields that identify a snapshot."""
    return {
        'highest': snapshot.highest,
        'digest': snapshot.digest.hex(),
        'retained': list(snapshot.retained),
    }


def _apply_configuration(
    state: State, received: dissemination.ReceivedEntries
) -> SnapshotChange:
    entries = [
        entry for entry in received.entries if not is_instance_key(entry.key)
    ]
    prefix = received.full_read_prefix
    if prefix is None or prefix.startswith(INSTANCE_PREFIX):
        return state.configuration.apply(entries)
    return state.configuration.apply_full_read(
        prefix, received.revision, entries, received.unusable_keys
    )


def _apply_instances(
    state: State, now: float, received: dissemination.ReceivedEntries
) -> tuple[str, ...]:
    entries: list[Entry] = [
        entry for entry in received.entries if is_instance_key(entry.key)
    ]
    prefix = received.full_read_prefix
    membership = state.membership
    since = now if state.rules.requires_identity else None
    outages = state.dissemination.store.outages
    is_after_outage = outages.seconds_since(now) is not None
    if prefix is None or not INSTANCE_PREFIX.startswith(prefix):
        return tuple(
            membership.apply(entries, since, is_after_outage=is_after_outage)
        )
    return tuple(
        membership.apply_full_read(
            received.revision,
            entries,
            since,
            is_after_outage=is_after_outage,
        ),
    )


def _wake_for_own_record(
    state: State, now: float, changed: tuple[str, ...]
) -> Effects:
    """Return a tick if the record of this instance changed.

    The owner applies the record at ticks. At a regular one an upstream that
    became cold would get its full share up to then.
    """
    records = (
        state.membership.find_record(record_id_of(key)) for key in changed
    )
    is_own = any(
        held is not None
        and held.member is not None
        and held.member.instance == state.identity.instance
        for held in records
    )
    return [WakeAt(at=now)] if is_own else []


def _make_instances_log_line(
    state: State,
    changed: tuple[str, ...],
    received: dissemination.ReceivedEntries,
) -> WriteLog:
    shown = ' '.join(sorted(changed)[:MAX_LOGGED_RECORDS])
    return WriteLog(
        level=LogLevel.INFO,
        code='instances-changed',
        fields=(
            ('changed', str(len(changed))),
            ('records', shown),
            ('live', str(state.membership.instance_count)),
            ('highest', format_revision(state.membership.highest)),
            ('source', received.source or STORE_SOURCE),
        ),
    )


def _report_changes(
    state: State,
    change: SnapshotChange,
    source: str,
    before: Snapshot | None,
) -> Effects:
    effects = _report_refused(state, change, source)
    effects.extend(_report_outdated(change, source))
    effects.extend(_report_waiting(change))
    effects.extend(_report_retained(change))
    after = state.configuration.snapshot
    if after is not None and change.is_snapshot_new:
        effects.extend(_record_activation(state, before, after, source))
    return effects


def _report_refused(
    state: State,
    change: SnapshotChange,
    source: str,
) -> Effects:
    effects: Effects = []
    for refused in change.refused:
        fields = {
            'key': refused.key,
            'revision': format_revision(refused.revision),
            'problems': '; '.join(str(found) for found in refused.problems),
            'cause': _cause_of(source),
            'source': source,
        }
        record = state.audit_trail.record('refused', dict(fields))
        effects.append(WriteAudit(record=record))
        effects.append(
            WriteLog(
                level=LogLevel.ERROR,
                code='version-refused',
                fields=tuple(fields.items()),
            ),
        )
        effects.append(Count(name='configuration.refused'))
    return effects


def _report_outdated(change: SnapshotChange, source: str) -> Effects:
    """Log the versions of the store that are not used because of their order.

    Peers often send versions that are outdated by the time they arrive.
    """
    if source != STORE_SOURCE:
        return []
    return [
        WriteLog(
            level=LogLevel.INFO,
            code='version-outdated',
            fields=(
                ('key', outdated.key),
                ('revision', format_revision(outdated.revision)),
                ('active', format_revision(outdated.active_revision)),
            ),
        )
        for outdated in change.outdated
    ]


def _report_waiting(change: SnapshotChange) -> Effects:
    return [
        WriteLog(
            level=LogLevel.WARNING,
            code='version-waits',
            fields=(
                ('key', waiting.key),
                ('revision', format_revision(waiting.revision)),
                ('missing', ', '.join(waiting.missing)),
            ),
        )
        for waiting in change.waiting
    ]


def _report_retained(change: SnapshotChange) -> Effects:
    return [
        WriteLog(
            level=LogLevel.WARNING,
            code='definition-retained',
            fields=(('resource', name),),
        )
        for name in change.retained
    ]


def _record_activation(
    state: State,
    before: Snapshot | None,
    after: Snapshot,
    source: str,
) -> Effects:
    fields = {
        **snapshot_fields(after),
        'versions': dict(after.versions),
        'stated': {key: list(stated) for key, stated in after.stated},
        'cause': _cause_of(source),
        'source': source,
    }
    effects: Effects = [
        WriteAudit(record=state.audit_trail.record('configuration', fields)),
        Count(name='configuration.activated'),
    ]
    if before is None or before.caller_limits != after.caller_limits:
        limits = after.caller_limits
        effects.append(
            LimitCallers(
                idle_seconds=limits.idle_timeout_ms / MILLISECONDS_PER_SECOND,
                header_seconds=(
                    limits.header_timeout_ms / MILLISECONDS_PER_SECOND
                ),
                max_body_bytes=limits.body_limit,
                max_head_bytes=limits.head_limit,
            )
        )
    if before is None or before.platform != after.platform:
        platform: AuditFields = {
            'data_centres_out': list(after.platform.data_centres_out),
            'instances_out': list(after.platform.instances_out),
            'highest': after.highest,
        }
        effects.append(
            WriteAudit(
                record=state.audit_trail.record('out_of_service', platform)
            ),
        )
    return effects


def _cause_of(source: str) -> str:
    return STORE_SOURCE if source == STORE_SOURCE else 'peer'
