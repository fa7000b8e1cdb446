# Each target sets up what it needs and may be run again.
.PHONY: demo test mutants

.venv/tested-from: requirements.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements.txt .venv/built-from
	cp requirements-dev.txt .venv/tested-from

demo: .venv/tested-from
	.venv/bin/python -m limebridge demo

test: .venv/tested-from
	.venv/bin/ruff check . && .venv/bin/mypy && .venv/bin/python -m pytest -q

# Takes guards out of a copy of the tree and tells which no test misses; goes on where it stopped.
mutants: .venv/tested-from
	.venv/bin/pip -q install cosmic-ray==8.7.0
	test -f mutants.sqlite || .venv/bin/cosmic-ray init mutants.toml mutants.sqlite
	.venv/bin/cosmic-ray exec mutants.toml mutants.sqlite
	.venv/bin/cr-report mutants.sqlite --surviving-only
