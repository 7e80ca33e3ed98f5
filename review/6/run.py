"""A control process that cannot start again after changes of a deposed leader were replaced across two log files."""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(HERE.parent))
import cluster2  # noqa: E402

ROUTES = 100
SEGMENT = 2 * 1024 * 1024  # the log's files are closed at this size: only the time of the disruption follows it


def log_files(core, i):
    return sorted((path.name, path.stat().st_size) for path in core.data(i).glob("log-*"))


def leader_of(core, version):
    """Who acknowledges a change itself is the leader."""
    answer = core.replace(version, ROUTES)
    if answer is None:
        raise cluster2.CannotRun(f"version {version} was not acknowledged")
    return answer[2]


def order_at(core, i, version):
    """One call of the operator at one process, without waiting for what becomes of it."""
    core.record.say(f"operator orders version {version} -> {core.name(i)}")
    answer = core.call(i, "POST", cluster2.word("/config/rep", "lace"), cluster2.desired_state(version, ROUTES))
    core.record.say(f"operator orders version {version} -> {core.name(i)}: {answer[0] if answer else 'no answer'}")


def body(record, trouble):
    core = cluster2.Core(record)
    try:
        return run(core, record, trouble)
    finally:
        core.end()


def run(core, record, trouble):
    for i in range(3):
        core.start(i, bootstrap=True)
    version = 1
    if core.replace(version, ROUTES, 20) is None:
        raise cluster2.CannotRun("the system did not start")
    acknowledged = version

    # Changes until the next one would be the last of the leader's log file. Half way, planned work: the leader is stopped
    # and started, so that another one leads.
    leader, before = 0, 0
    while True:
        version += 1
        leader = leader_of(core, version)
        acknowledged = version
        if version == 45:
            core.stop(leader)
            time.sleep(0.5)
            core.start(leader)
            time.sleep(2)
            continue
        name, size = log_files(core, leader)[-1]
        grown, before = size - before, size
        if grown > 0 and size + grown >= SEGMENT > size:
            break
    first_file = name
    record.say(f"{version} changes acknowledged; {core.name(leader)} leads")
    others = [i for i in range(3) if i != leader]

    # The processes of the core are killed: two of them, and the third after two more changes have reached it.
    lost = [version + 1, version + 2]
    if trouble:
        for i in others:
            core.kill(i)
        callers = []
        for each in lost:
            callers.append(threading.Thread(target=order_at, args=(core, leader, each)))
            callers[-1].start()
            time.sleep(0.08)
        time.sleep(0.1)
        core.kill(leader)
        record.say(f"log files of {core.name(leader)}: {log_files(core, leader)}")
        for each in callers:
            each.join()
        time.sleep(0.4)
        for i in others:
            core.start(i)
    # The operator sends again what got no clear answer.
    for version in lost:
        if core.replace(version, ROUTES, 12, others[0]) is None:
            raise cluster2.CannotRun(f"version {version} was not acknowledged")
        acknowledged = version
    if trouble:
        core.start(leader)
    time.sleep(2)

    # Further changes, until the former leader has put away its first log file.
    while log_files(core, leader)[0][0] == first_file or len(log_files(core, leader)) > 2:
        version += 1
        if version > 600:
            raise cluster2.CannotRun("the first log file stays")
        leader_of(core, version)
        acknowledged = version
    record.say(f"{version} changes acknowledged; log files of {core.name(leader)}: {log_files(core, leader)}")
    time.sleep(2)

    # Planned work: it is stopped and started, as the platform does, again where it ends by itself.
    core.stop(leader)
    ended = 0
    end = time.monotonic() + 10
    core.start(leader)
    while time.monotonic() < end:
        time.sleep(0.1)
        code = core.running[leader].poll()
        if code is None:
            continue
        ended += 1
        record.say(f"{core.name(leader)} ended by itself with code {code}: {core.last_output(leader, 1)}")
        time.sleep(0.5)
        core.start(leader)
    record.say(f"{core.name(leader)} ended by itself {ended} times in 10 s")

    # More than catch-up later, one other machine loses its disk right after an acknowledgment: as many as are tolerated.
    version += 1
    if core.replace(version, ROUTES, 12, others[0]) is None:
        raise cluster2.CannotRun(f"version {version} was not acknowledged")
    acknowledged = version
    core.kill(others[0])
    core.wipe(others[0])
    time.sleep(1)
    core.start(others[0])
    if core.running[leader].poll() is not None:
        core.start(leader)
    # Everything is back; recovery has 12 s, the reading goes on for 4 s more.
    time.sleep(12)
    read = core.read(seconds=8, first=others[1])
    record.say(f"read back: {read}; newest acknowledged: {acknowledged}")
    return read is None or read < acknowledged


if __name__ == "__main__":
    sys.exit(cluster2.run_case(HERE, body))
