# Wrapper around CMake. Every target can be run repeatedly.
BUILD ?= build
SOURCES = $(filter-out src/gen/%,$(wildcard src/*.[ch] platform/*.[ch] \
	platform/standin/*.[ch] include/*.h \
	standin/*.[ch] tests/*.[ch] bench/*.[ch] examples/*.c))

.PHONY: all deps build check lint demo bench fault-matrix format proto settings-doc

all: build

deps:
	@scripts/install-deps.sh

build:
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build $(BUILD)

check: build
	@scripts/check.sh $(BUILD)

lint: build
	@scripts/lint.sh $(BUILD)

demo: deps build
	@scripts/demo.sh $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

fault-matrix: build
	@$(BUILD)/test_faults --all

format:
	@clang-format -i $(SOURCES)

settings-doc: build
	@$(BUILD)/sassafrasrelay check-settings --markdown > docs/SETTINGS.md

# Needs protoc-c of the package protobuf-c-compiler. The generated files are
# committed.
proto:
	@cd proto && protoc-c --c_out=../src/gen sassafrasrelay.proto internal.proto platform.proto flow.proto
