# README.md documents demo, check and measure; the other targets support them.
MAKEFLAGS += --no-print-directory
.PHONY: all setup build demo check measure format lint test wire
all: build
setup:
	@bash util/setup.sh
build: setup
	@cmake -S . -B build >/dev/null
	@cmake --build build -j $$(nproc) 2>&1 | grep -vE '^\[|Consolidate|Scanning' || true
	@cmake --build build >/dev/null
demo: build
	@bash examples/demo.sh
check: build
	@bash util/check.sh
measure: build
	@bash util/measure.sh
format:
	@clang-format -i $$(git ls-files -co --exclude-standard '*.h' '*.cc' | grep -v _generated)
lint:
	@bash util/lint.sh
test: build
	@bash util/run_tests.sh
# Regenerates the committed header; requires flatbuffers-compiler.
wire:
	flatc --cpp -o goldcrestdeck/generated goldcrestdeck/wire.fbs
