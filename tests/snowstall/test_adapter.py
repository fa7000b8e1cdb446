"""The adapter as a process: protocol text in, action lines out."""

import json
import subprocess
import sys

import pytest

CONF = json.dumps(
    {
        "caps": {"mostTries": 3, "cancel": True},
        "classes": [{"name": "read", "promiseMs": 100, "deadlineMs": 400, "effect": "pure"}],
        "guarantees": {"coldFrom": 0.2, "warmWithinMs": 1000},
        "unheardOf": {"x": 1},
    }
)
START = f"""batch tMs=10.0
born proxy=proxy-1 seed=5 conf={CONF}
view proxy=proxy-1 mode=cached epoch=1 lines=1
row node=77 campus=a readiness=Ready type=std
flush
"""


def run_adapter(text: str, hash_seed: str = "0") -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "snowstall.adapter"],
        input=text,
        capture_output=True,
        text=True,
        timeout=60,
        env={"PYTHONHASHSEED": hash_seed},
    )


def test_a_request_is_sent_to_the_listed_node() -> None:
    done = run_adapter(
        START
        + """batch tMs=20.0
novelty proxy=proxy-1 a=1
demand proxy=proxy-1 xid=9 priority=read affinity=4 giveUpAtMs=300.0 extra=1
flush
batch tMs=30.0
ended proxy=proxy-1 xid=9 node=77 lagMs=8.0 closed=1 rc=GOOD sendNo=0 pressure=inflight:2
abandoned proxy=proxy-1 xid=9
detach proxy=proxy-1
flush
"""
    )
    assert done.returncode == 0 and done.stderr == ""
    assert done.stdout == "end\nsend proxy=proxy-1 xid=9 node=77\nend\nend\n"


@pytest.mark.parametrize(
    "line",
    [
        "demand proxy=proxy-1 garbage",
        "demand proxy=proxy-2 xid=1 priority=read giveUpAtMs=50",
        "ended proxy=proxy-1 xid=9 rc=WHAT",
        "view proxy=proxy-1 mode=full epoch=2 lines=1",
        "born proxy=proxy-3 seed=1 conf={}",
        "???",
    ],
)
def test_malformed_lines_end_the_process_with_a_fatal_line(line: str) -> None:
    done = run_adapter(f"{START}batch tMs=20.0\n{line}\nflush\n")
    assert done.returncode == 1
    assert "fatal proxy=proxy-" in done.stdout and done.stdout.endswith("end\n")
    assert "Error" in done.stderr


def test_end_of_input_is_a_clean_exit() -> None:
    assert run_adapter("").returncode == 0
    assert run_adapter(START).returncode == 0


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    rows = "".join(f"row node={n} campus=a readiness=Ready type=std\n" for n in range(20))
    text = START + f"batch tMs=11\nview proxy=proxy-1 mode=full epoch=2 lines=20\n{rows}flush\n"
    for number in range(60):
        text += (
            f"batch tMs={20 + number}\ndemand proxy=proxy-1 xid={number} priority=read "
            f"affinity={number % 3} giveUpAtMs=900\nflush\n"
        )
    assert run_adapter(text, "1").stdout == run_adapter(text, "2").stdout
