# Entry points. Each target first installs any missing Debian packages (scripts/setup.sh).
BUILD ?= build

.PHONY: demo check bench lint model soak build setup

demo: build
	./scripts/demo.sh

check: build
	./scripts/check.sh

bench: build
	./scripts/bench.sh

lint: build
	./scripts/lint.sh

soak: build
	./scripts/soak.sh

model: setup
	./scripts/model.sh

build: setup
	[ -f $(BUILD)/build.ninja ] || meson setup $(BUILD)
	ninja -C $(BUILD)

setup:
	./scripts/setup.sh
