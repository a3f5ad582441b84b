# Shortcuts for development tasks; see docs/CONTRIBUTING.md.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: install build run test format check-format lint bench clean

install:
	./tools/install-packages

build: install
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD) -j $(JOBS)

run: build
	./tools/try-out $(BUILD)

test: build
	./tools/run-tests $(BUILD) $(JOBS)

format:
	git ls-files '*.h' '*.cpp' | xargs clang-format -i

check-format:
	git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror

lint: build
	./tools/lint $(BUILD)

bench: build
	$(BUILD)/monsoonspool-bench proxy --json

clean:
	rm -rf $(BUILD)
