# Each target builds its prerequisites and can be repeated.
.PHONY: demo test mutants sites

.venv/tested-from: requirements.txt requirements-dev.txt
	python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	cp requirements.txt .venv/built-from
	cp requirements-dev.txt .venv/tested-from

demo: .venv/tested-from
	.venv/bin/python -m limebridge demo

test: .venv/tested-from
	.venv/bin/python -m compileall -q snowstall violetroute limebridge
	.venv/bin/ruff format --check . && .venv/bin/ruff check . && .venv/bin/mypy && \
	  .venv/bin/python -m pytest -q -n0 tests/violetroute/test_turns_of_lists.py && \
	  .venv/bin/python -m pytest -q --ignore=tests/violetroute/test_turns_of_lists.py

# Links the files that the bench requires beside a site's file.  They are in a folder of the bench
# and must not be committed.
SITES ?= ../given/kit/sites
sites:
	for name in real.json wire.json unlock.txt; do ln -sfn "$$(realpath $(SITES))/$$name" deploy/sites/$$name; done

# Mutation tests of one part (mutants/PART.toml): removes guards of the code one at a time, and lists
# those whose removal no test detects.  The files are changed in place and then restored, so this target
# needs a checkout of its own.  A run that was interrupted continues where it stopped.
PART ?= transport
mutants: .venv/tested-from
	.venv/bin/pip -q install cosmic-ray==8.7.0
	test -f mutants/$(PART).sqlite || { .venv/bin/cosmic-ray init mutants/$(PART).toml mutants/$(PART).sqlite && \
		.venv/bin/cr-filter-operators mutants/$(PART).sqlite mutants/$(PART).toml; }
	.venv/bin/cosmic-ray exec mutants/$(PART).toml mutants/$(PART).sqlite
	.venv/bin/cr-report mutants/$(PART).sqlite --surviving-only
