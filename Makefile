# Each target sets up what it needs and may be run again.
.PHONY: demo test

.venv/tested-from: requirements.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements.txt .venv/built-from
	cp requirements-dev.txt .venv/tested-from

demo: .venv/tested-from
	.venv/bin/python -m limebridge demo

test: .venv/tested-from
	.venv/bin/ruff check . && .venv/bin/mypy && .venv/bin/python -m pytest -q
