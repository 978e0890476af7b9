"""Tests of the start and the end of a daemon process.

Each test starts as few processes as possible, since a start is slow.
"""

import contextlib
import dataclasses
import io
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final
from unittest.mock import patch

import gevent
from nose2.tools import params

from briartack.main import EXIT_USAGE, run
from briartack.test.test_line_writer import fill_pipe
from briartack.test.test_logs import UTC_TIME
from briartack.test.test_processes import LIMIT_SECONDS, wait_until
from standins.client import call
from standins.deployment import Deployment
from standins.deployment_plans import Plan, plan_generated
from standins.deployment_site import DeploymentOptions
from standins.processes import PortAllocator

ROOT: Final = Path(__file__).parents[2]
HOME: Final = 'svc-1-1'
AWAY: Final = 'svc-1-2'
SECRETS: Final = {
    'X-Tenant': 'secret-tenant',
    'Idempotency-Key': 'secret-key',
    'X-Secret': 'secret-header',
}
# Longer than the tests take, so that only an interrupt ends the wait.
HOUR_SECONDS: Final = 3600
SLOW_INTERPRETER: Final = 'import atexit, time; atexit.register(time.sleep, 60)'
SLOW_PROCESS: Final = 'import os, time; os._exit = lambda code: time.sleep(60)'
# Stands for the modules of the daemon and gets a signal while it is loaded.
LAUNCH: Final = """
import os, signal, sys, types
class Module(types.ModuleType):
    def main(self):
        print('alive')
class Finder:
    def find_spec(self, name, path, target=None):
        if name == 'briartack.main':
            os.kill(os.getpid(), int(sys.argv[1]))
            sys.modules[name] = Module(name)
            import importlib.machinery
            return importlib.machinery.ModuleSpec(name, self)
    def create_module(self, spec):
        return Module(spec.name)
    def exec_module(self, module):
        pass
sys.meta_path.insert(0, Finder())
from briartack.launcher import main
main()
"""
LIST_LAUNCHER_MODULES: Final = """
import sys
before = set(sys.modules)
import briartack.launcher
print(*sorted(set(sys.modules) - before))
"""
SIGHUP_BIT: Final = 1 << (signal.SIGHUP - 1)


def isolated_flags(ports: PortAllocator) -> list[str]:
    """Return the flags of a daemon without a store, an upstream or peers."""
    names = ('caller', 'peer', 'operator', 'upstream', 'store')
    flags = [f'--{name}-address={ports.reserve_address()}' for name in names]
    return [
        *('--instance-id=a-1', '--service=a/main'),
        *('--data-centre=north-1', '--region=north'),
        *flags,
    ]


def value_of_flag(flags: list[str], name: str) -> str:
    """Return the value of a flag."""
    return next(
        flag.partition('=')[2]
        for flag in flags
        if flag.startswith(f'--{name}=')
    )


def is_healthy(flags: list[str]) -> bool:
    """Return whether the operator port answers a health check."""
    address = value_of_flag(flags, 'operator-address')
    try:
        answer = call(address, 'GET', '/healthz', timeout_seconds=1)
    except OSError:
        return False
    return answer.status == 200


def ignores_sighup(pid: int) -> bool:
    """Return whether a process ignores or handles SIGHUP; Linux only."""
    status = Path(f'/proc/{pid}/status').read_text('utf-8')
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    ]
    return any(mask & SIGHUP_BIT for mask in masks)


@contextlib.contextmanager
def running_daemon(
    flags: list[str], **streams: Any
) -> Iterator[subprocess.Popen[bytes]]:
    """Run a daemon, and kill it at the end if it still runs."""
    child = subprocess.Popen(
        [sys.executable, '-m', 'briartack.launcher', *flags],
        cwd=ROOT,
        **streams,
    )
    try:
        yield child
    finally:
        child.kill()
        child.wait()


def plan_with_home_region() -> Plan:
    """Return a plan of two regions with one daemon each.

    The first region is the only home region of the tenant `secret-tenant`.
    """
    plan = plan_generated(
        regions=2,
        data_centres=1,
        daemons_per_data_centre=1,
        services=1,
    )
    key = 'teams/generated'
    team = json.loads(plan.tree[key])
    team['workspaces'] = {
        'home': {'tenants': ['secret-tenant'], 'home_regions': ['region-1']},
    }
    team['policies']['write']['timeout_ms'] = 60_000
    tree = {**plan.tree, key: json.dumps(team)}
    return dataclasses.replace(plan, tree=tree)


def json_lines(path: Path) -> list[dict[str, Any]]:
    """Return the decoded lines of a file, apart from an unfinished one."""
    return [json.loads(line) for line in path.read_bytes().split(b'\n')[:-1]]


def call_ignoring_errors(deployment: Deployment) -> None:
    """Make a call that fails when the daemon ends."""
    with contextlib.suppress(OSError):
        deployment.call(HOME, 'POST', '/svc-1/write/x')


def audit_kinds(path: Path) -> list[str]:
    """Return the kind of each audit line of a file."""
    return [record['kind'] for record in json_lines(path)]


def log_codes(path: Path) -> list[str]:
    """Return the code of each log line of a file."""
    return [line.get('code', '') for line in json_lines(path)]


class StartTest(unittest.TestCase):
    def test_every_invalid_setting_is_reported(self) -> None:
        """Guard against a start that reports only its first invalid setting."""
        errors = io.StringIO()
        with (
            patch.dict(os.environ, {'BRIARTACK_REGION': '-'}, clear=True),
            contextlib.redirect_stderr(errors),
        ):
            code = run(['--service=x', '--drain-seconds=-1', '--other'])
        self.assertEqual(code, EXIT_USAGE)
        for expected in (
            '--region (BRIARTACK_REGION)',
            '--service (BRIARTACK_SERVICE)',
            '--drain-seconds (BRIARTACK_DRAIN_SECONDS)',
            '--store-address (BRIARTACK_STORE_ADDRESS): missing',
            '--other: unknown argument',
        ):
            self.assertIn(expected, errors.getvalue())

    def test_address_in_use_ends_the_start(self) -> None:
        """Guard against a daemon that runs without one of its addresses."""
        flags = isolated_flags(PortAllocator())
        host, _, port = value_of_flag(flags, 'peer-address').partition(':')
        with socket.socket() as holder:
            holder.bind((host, int(port)))
            holder.listen()
            ended = subprocess.run(
                [sys.executable, '-m', 'briartack.launcher', *flags],
                cwd=ROOT,
                capture_output=True,
                check=False,
                timeout=LIMIT_SECONDS,
            )
        self.assertEqual(ended.returncode, 1)
        lines = [json.loads(line) for line in ended.stderr.splitlines()]
        self.assertEqual(
            [line['code'] for line in lines],
            ['address-in-use', 'cannot-listen'],
        )
        for line in lines:
            self.assertIn(port, ' '.join(line['fields'].values()))

    # Guards against a daemon that ends since the one before still uses its
    # addresses for the rest of its grace time.
    def test_start_waits_for_an_address_in_use(self) -> None:
        flags = isolated_flags(PortAllocator())
        host, _, port = value_of_flag(flags, 'caller-address').partition(':')
        quiet = subprocess.DEVNULL
        with contextlib.ExitStack() as stack:
            holder = stack.enter_context(socket.socket())
            holder.bind((host, int(port)))
            holder.listen()
            child = stack.enter_context(
                running_daemon(flags, stdout=quiet, stderr=subprocess.PIPE)
            )
            assert child.stderr is not None
            self.assertIn(b'address-in-use', child.stderr.readline())
            self.assertIsNone(child.poll())
            holder.close()
            self.assertIn(b'"listening"', child.stderr.readline())
            child.send_signal(signal.SIGTERM)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)

    # Guards against a stop that waits for an address in use.
    def test_stop_ends_the_wait_for_an_address(self) -> None:
        flags = isolated_flags(PortAllocator())
        host, _, port = value_of_flag(flags, 'peer-address').partition(':')
        with socket.socket() as holder:
            holder.bind((host, int(port)))
            holder.listen()
            with running_daemon(
                flags, stdout=subprocess.DEVNULL, stderr=subprocess.PIPE
            ) as child:
                assert child.stderr is not None
                self.assertIn(b'address-in-use', child.stderr.readline())
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.wait(LIMIT_SECONDS / 4), 0)

    # Guards against a daemon that ends since its metrics cannot be served.
    @params('127.0.0.1:{port}', '192.0.2.1:{port}')
    def test_daemon_works_without_its_metrics_address(
        self, address: str
    ) -> None:
        """Each row states an address in use or one of another machine."""
        flags = isolated_flags(PortAllocator())
        with contextlib.ExitStack() as stack:
            holder = stack.enter_context(socket.socket())
            holder.bind(('127.0.0.1', 0))
            holder.listen()
            address = address.format(port=holder.getsockname()[1])
            child = stack.enter_context(
                running_daemon(
                    [*flags, f'--metrics-address={address}'],
                    stdout=subprocess.DEVNULL,
                    stderr=subprocess.PIPE,
                )
            )
            assert child.stderr is not None
            self.assertIn(b'"listening"', child.stderr.readline())
            lines = iter(child.stderr.readline, b'')
            self.assertTrue(
                any(b'metrics-unavailable' in line for line in lines)
            )
            self.assertTrue(is_healthy(flags))
            holder.close()
            if address.startswith('127'):
                wait_until(
                    lambda: is_healthy([f'--operator-address={address}']),
                    'the metrics are served',
                )
            child.send_signal(signal.SIGTERM)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)

    # Guards against a daemon that ends since its address is assigned later.
    def test_start_waits_for_an_address_that_is_not_assigned(self) -> None:
        flags = isolated_flags(PortAllocator())
        with running_daemon(
            [*flags, '--caller-address=192.0.2.1:8300'],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
        ) as child:
            assert child.stderr is not None
            self.assertIn(b'address-in-use', child.stderr.readline())
            with self.assertRaises(subprocess.TimeoutExpired):
                child.wait(1)
            child.send_signal(signal.SIGTERM)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)


class StartSignalTest(unittest.TestCase):
    # Guards against a daemon that SIGHUP ends while it starts: a changed
    # settings file may be announced at any moment.
    def test_start_goes_on_under_sighup(self) -> None:
        flags = isolated_flags(PortAllocator())
        quiet = subprocess.DEVNULL
        with running_daemon(flags, stdout=quiet, stderr=quiet) as child:
            # Until the interpreter runs, nothing can be done about a signal.
            wait_until(lambda: ignores_sighup(child.pid), 'SIGHUP is ignored')
            while not is_healthy(flags):
                child.send_signal(signal.SIGHUP)
                gevent.sleep(0.005)
            child.send_signal(signal.SIGHUP)
            child.send_signal(signal.SIGTERM)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)

    # Guards against a start that a signal ends with a failure: the platform
    # may change the settings file or stop the daemon at any moment.
    @params(
        (signal.SIGHUP, 'alive\n'), (signal.SIGTERM, ''), (signal.SIGINT, '')
    )
    def test_signals_are_handled_before_the_modules_are_loaded(
        self, number: int, output: str
    ) -> None:
        """Each row states a signal and what the daemon does after it."""
        ended = subprocess.run(
            [sys.executable, '-c', LAUNCH, str(int(number))],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual((ended.returncode, ended.stdout), (0, output))

    # Guards against a start that a signal ends, since modules are loaded
    # before the launcher sets its handlers.
    def test_launcher_loads_no_other_module(self) -> None:
        ended = subprocess.run(
            [sys.executable, '-S', '-c', LIST_LAUNCHER_MODULES],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(
            ended.stdout.split(), ['briartack', 'briartack.launcher']
        )

    # Guards against a deploy file whose program does not start.
    def test_program_of_the_deploy_file_starts(self) -> None:
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        _, *words = deploy['roles']['daemon']['run'].split()
        program = words[: words.index('--dialect')]
        self.assertNotIn('-m', program)
        library = os.pathsep.join(path for path in sys.path if path)
        ended = subprocess.run(
            [sys.executable, *program, '--other'],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=False,
            env={'PYTHONPATH': library},
        )
        self.assertEqual(ended.returncode, EXIT_USAGE)
        self.assertIn('--other: unknown argument', ended.stderr)

    # Guards against a signal that ends the process while the interpreter ends.
    @params(signal.SIGHUP, signal.SIGTERM)
    def test_repeated_signals_do_not_replace_the_exit_code(
        self, number: int
    ) -> None:
        flags = isolated_flags(PortAllocator())
        quiet = subprocess.DEVNULL
        with running_daemon(flags, stdout=quiet, stderr=quiet) as child:
            wait_until(lambda: is_healthy(flags), 'the daemon answers')
            child.send_signal(signal.SIGTERM)
            while child.poll() is None:
                child.send_signal(number)
                gevent.sleep(0.001)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)


class ExitTest(unittest.TestCase):
    # Guards against a process that is killed at the end of the grace time while
    # the interpreter destroys its modules, which takes long on a slow machine.
    def test_interpreter_does_not_delay_the_end(self) -> None:
        flags = isolated_flags(PortAllocator())
        child = self.start_daemon(flags, SLOW_INTERPRETER)
        child.send_signal(signal.SIGTERM)
        self.assertEqual(child.wait(LIMIT_SECONDS), 0)

    # Guards against requests on kept connections that nobody reads while the
    # process ends, and that are reset with it (LOST).
    def test_connections_end_before_the_process(self) -> None:
        flags = isolated_flags(PortAllocator())
        child = self.start_daemon(flags, SLOW_PROCESS)
        host, _, port = value_of_flag(flags, 'caller-address').rpartition(':')
        with socket.create_connection((host, int(port))) as caller:
            caller.settimeout(LIMIT_SECONDS)
            gevent.sleep(0.5)
            child.send_signal(signal.SIGTERM)
            self.assertEqual(caller.recv(1), b'')
        gevent.sleep(0.5)
        self.assertIsNone(child.poll())

    def start_daemon(
        self, flags: list[str], slow_end: str
    ) -> 'subprocess.Popen[bytes]':
        """Start a daemon whose process ends in a way that takes a minute."""
        program = f'{slow_end}; from briartack.main import main; main()'
        child = subprocess.Popen(
            [sys.executable, '-c', program, *flags], cwd=ROOT
        )
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        wait_until(lambda: is_healthy(flags), 'the daemon answers')
        return child


class SettingsFileTest(unittest.TestCase):
    # Guards against a start that a settings file ends which the platform is
    # still writing.
    @params(None, b'', b'zones.no', b'zones.north-1=north\nbounds=grace_s=\xff')
    def test_start_waits_for_a_usable_settings_file(
        self, content: bytes | None
    ) -> None:
        """Each row states what the file holds at first, or that none exists."""
        with tempfile.TemporaryDirectory() as name:
            path = Path(name, 'node.conf')
            if content is not None:
                path.write_bytes(content)
            flags = isolated_flags(PortAllocator())
            with running_daemon(
                [*flags, '--dialect=platform', f'--boot={path}'],
                stdout=subprocess.DEVNULL,
                stderr=subprocess.PIPE,
            ) as child:
                assert child.stderr is not None
                self.assertIn(b'settings file', child.stderr.readline())
                path.write_text('zones.north-1=north\n', 'utf-8')
                self.assertIn(b'--boot', child.stderr.readline())
                self.assertIn(b'"listening"', child.stderr.readline())
                child.send_signal(signal.SIGTERM)
                self.assertEqual(child.wait(LIMIT_SECONDS), 0)

    # Guards against a wait that SIGTERM does not end, and against an exit code
    # that depends on who reads the output.
    @params('read', 'gone', 'closed')
    def test_stop_ends_the_wait_for_a_settings_file(self, reader: str) -> None:
        flags = isolated_flags(PortAllocator())
        read_end, write_end = os.pipe()
        if reader == 'gone':
            os.close(read_end)
        command = shlex.join(
            [sys.executable, '-m', 'briartack.launcher', *flags]
        )
        redirection = '2>&-' if reader == 'closed' else ''
        child = subprocess.Popen(
            f'exec {command} --dialect=platform --boot=/none {redirection}',
            shell=True,
            cwd=ROOT,
            stderr=write_end,
        )
        os.close(write_end)
        with contextlib.suppress(subprocess.TimeoutExpired):
            child.wait(1)
        self.assertIsNone(child.poll())
        child.send_signal(signal.SIGTERM)
        self.assertEqual(child.wait(LIMIT_SECONDS), 0)
        if reader != 'gone':
            os.close(read_end)


class OutputTest(unittest.TestCase):
    @params('full', 'closed')
    def test_unread_output_does_not_stop_the_daemon(self, kind: str) -> None:
        """Guard against a daemon that hangs or ends with its reader.

        The pipe of its output is full, or its read end is closed.
        """
        flags = isolated_flags(PortAllocator())
        read_end, write_end = os.pipe()
        if kind == 'full':
            fill_pipe(write_end)
            os.set_blocking(write_end, True)
        else:
            os.close(read_end)
        with running_daemon(
            flags,
            stdout=write_end,
            stderr=write_end,
        ) as child:
            os.close(write_end)
            wait_until(lambda: is_healthy(flags), 'the daemon answers')
            child.send_signal(signal.SIGTERM)
            self.assertEqual(child.wait(LIMIT_SECONDS), 0)


class SignalTest(unittest.TestCase):
    # Guards against requests that a repeated SIGTERM cuts.
    def test_interrupt_ends_a_stop_at_once_and_lines_hide_requests(
        self,
    ) -> None:
        """Guard against request data in the output, and wrong exit codes.

        One daemon refuses a call because of its home regions, the other
        answers it and is then stopped with a request at its upstream.
        """
        options = DeploymentOptions(
            log_level='debug',
            drain_seconds=HOUR_SECONDS,
        )
        with Deployment(plan_with_home_region(), options) as deployment:
            self.call_both_regions(deployment)
            self.interrupt_stop(deployment)
            away = deployment.get_daemon_process(AWAY)
            away.send_signal(signal.SIGTERM)
            self.assertEqual(away.wait(LIMIT_SECONDS), 0)
            for name in (HOME, AWAY):
                self.check_lines(deployment, name)

    def call_both_regions(self, deployment: Deployment) -> None:
        """Make a refused call away from home, and a served one at home."""
        for name, expected in ((AWAY, 403), (HOME, 200)):
            answer = deployment.call(
                name,
                'POST',
                '/svc-1/write/secret-path',
                headers=SECRETS,
                body=b'secret-body',
            )
            self.assertEqual(answer.status, expected)

    def interrupt_stop(self, deployment: Deployment) -> None:
        """Send three signals while a request is at the upstream."""
        deployment.control_upstream(
            HOME,
            'fault',
            kind='late',
            seconds=HOUR_SECONDS,
        )
        caller = gevent.spawn(call_ignoring_errors, deployment)
        wait_until(
            lambda: deployment.status(HOME)['upstream']['in_flight'] == 1,
            'the request is at the upstream',
        )
        home = deployment.get_daemon_process(HOME)
        home.send_signal(signal.SIGTERM)
        wait_until(
            lambda: 'stopping' in audit_kinds(home.stdout),
            'the planned stop began',
        )
        home.send_signal(signal.SIGTERM)
        wait_until(
            lambda: 'stop-repeated' in log_codes(home.stderr),
            'the second signal is handled',
        )
        self.assertEqual(deployment.status(HOME)['upstream']['in_flight'], 1)
        home.send_signal(signal.SIGINT)
        self.assertEqual(home.wait(LIMIT_SECONDS), 1)
        caller.join()

    def check_lines(self, deployment: Deployment, name: str) -> None:
        """Check the form of all lines, and that no request data is in them."""
        child = deployment.get_daemon_process(name)
        audit = json_lines(child.stdout)
        logs = json_lines(child.stderr)
        for line in (*audit, *logs):
            self.assertRegex(line['time'], UTC_TIME)
            self.assertEqual(line['instance'], name)
        numbers = [record['sequence'] for record in audit]
        self.assertEqual(numbers, list(range(1, len(audit) + 1)))
        self.assertIn('listening', [logged.get('code') for logged in logs])
        written = child.stdout.read_text() + child.stderr.read_text()
        requests = written.replace('"secret-tenant"', '')
        self.assertNotIn('secret', requests)
