"""Format effects of the call path as short lines for tables of test cases."""

from briartack.core import effects
from briartack.core.messages import Attempt


def format_effect(effect: effects.Effect) -> str:  # noqa: WPS212, C901
    """Return an effect as a short line of text.

    Effects that no test case compares give an empty line.
    """
    match effect:
        case effects.AnswerCall():
            parts = (
                'answer',
                effect.call_id,
                effect.verdict.value,
                str(effect.status),
                effect.reason,
                effect.body_id or '',
            )
            return ' '.join(part for part in parts if part)
        case effects.SendAnswer():
            answer = effect.answer
            return (
                f'reply {effect.peer} {answer.attempt_id} '
                f'{answer.verdict.value} {answer.reason or answer.status}'
            )
        case effects.SendAttempt():
            return f'send {effect.peer} {_format_attempt(effect.attempt)}'
        case effects.GrantBody():
            return f'grant {effect.peer} {effect.attempt_id}'
        case effects.SendMessage():
            return f'{type(effect.message).__name__.lower()} {effect.peer}'
        case effects.Dispatch():
            return f'dispatch {effect.attempt_id}'
        case effects.AbortDispatch():
            return f'abort {effect.attempt_id}'
        case effects.DropBody():
            return f'drop {effect.body_id}'
        case effects.ReadBody():
            return f'read {effect.call_id}'
        case effects.Connect():
            return f'connect {effect.peer}'
        case effects.Exit():
            return f'exit {effect.code}'
        case effects.Count():
            return f'count {effect.name}'
    return ''


def _format_attempt(attempt: Attempt) -> str:
    mark = ' last-resort' if attempt.is_last_resort else ''
    if attempt.awaits_grant:
        mark = f'{mark} awaits-grant'
    return f'{attempt.attempt_id}{mark}'
