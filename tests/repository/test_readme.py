"""The README's example runs as printed."""

import re

from tests.support.paths import ROOT


def test_example_runs(capsys) -> None:  # type: ignore[no-untyped-def]
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code
    exec(code.group(1), {})
    assert capsys.readouterr().out == "request 100 goes to one of two: True\nleft to do: []\n"
