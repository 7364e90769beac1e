# On a new machine, `make demo` or `make test` is enough: both install the missing packages and build first.
BUILD := build
JOBS := $(shell nproc)
STRICT := OFF

.PHONY: all setup build demo test format check-format lint wire clean

all: build

setup:
	@tools/setup

build: setup
	@cmake -S . -B $(BUILD) -G Ninja -DTEASELWARD_STRICT=$(STRICT) > /dev/null
	@cmake --build $(BUILD) -- -j $(JOBS)

demo: build
	@tools/demo

test: build
	@tools/run-tests

format:
	@clang-format -i $$(tools/sources)

check-format:
	@clang-format --dry-run -Werror $$(tools/sources)

lint: build
	@tools/lint

# Regenerates the committed code of the RPC schemas.
wire:
	@cd src/rpc && capnp compile -oc++ *.capnp

clean:
	@rm -rf $(BUILD)
