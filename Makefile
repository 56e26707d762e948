# Every target sets up what it needs; `make help` lists them.
BUILD ?= build
BUILD_TYPE ?= RelWithDebInfo
JOBS ?= $(shell nproc)
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := 1

.PHONY: help setup build test run stop fuzz bench capacity format format-check lint boundary-check docs-check generate clean

help:
	@echo "make setup         install the Debian packages in packages.txt"
	@echo "make build         configure and compile into $(BUILD)/"
	@echo "make test          set up, build and run all tests"
	@echo "make run           set up, start the system with stand-ins, serve two requests"
	@echo "make stop          stop what make run started"
	@echo "make fuzz          build and run the fuzz targets, a fixed number of runs"
	@echo "make bench         measure speeds (not part of the tests)"
	@echo "make capacity      measure the slopes of the daemon mangodeckd"
	@echo "make format        format the sources in place"
	@echo "make format-check  fail if a source is not formatted"
	@echo "make lint          run clang-tidy on all sources"
	@echo "make docs-check    check links, commands and options named in the pages"
	@echo "make boundary-check  check that the platform's names stay in platform/"
	@echo "make generate      run protoc; the generated files are committed"

setup:
	@scripts/setup.sh

$(BUILD)/build.ninja: CMakeLists.txt
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) \
	  -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang \
	  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache -DCMAKE_EXPORT_COMPILE_COMMANDS=ON

build: $(BUILD)/build.ninja
	cmake --build $(BUILD) -j $(JOBS)

test: setup build
	@scripts/test.sh $(BUILD)

run: setup build
	@scripts/run.sh $(BUILD)

stop:
	@scripts/stop.sh

fuzz: setup
	cmake -S . -B build-fuzz -G Ninja -DMANGODECK_FUZZ=ON \
	  -DCMAKE_CXX_COMPILER=clang++ -DCMAKE_C_COMPILER=clang \
	  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache
	cmake --build build-fuzz -j $(JOBS) --target fuzz-records fuzz-revisions \
	  fuzz-storeanswers fuzz-settings fuzz-peermessages fuzz-httpmessages \
	  fuzz-platformkeys
	@scripts/fuzz.sh build-fuzz

bench: setup build
	@scripts/bench.sh $(BUILD)

capacity: setup build
	@scripts/capacity.sh $(BUILD)

format:
	@scripts/sources.sh | xargs clang-format -i

format-check:
	@scripts/sources.sh | xargs clang-format --dry-run -Werror

lint: $(BUILD)/build.ninja
	@scripts/sources.sh | grep '\.cpp$$' | xargs -P $(JOBS) -n 1 clang-tidy --quiet -p $(BUILD)

docs-check: build
	@scripts/docs-check.sh $(BUILD)

boundary-check:
	@scripts/boundary-check.sh

generate:
	@scripts/generate.sh

clean:
	rm -rf $(BUILD)
