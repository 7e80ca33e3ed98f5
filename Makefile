# Entry points for a person: each installs what is missing, builds, then runs.
.PHONY: build test demo failures bench soak format
BUILD ?= build

build:
	./tools/install-packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	./tools/demo $(BUILD)

# Real processes under kills, freezes, lost disks, racing operators and floods.
failures: build
	./tools/race $(BUILD)
	./tools/failures $(BUILD)
	./tools/flood $(BUILD)

bench: build
	$(BUILD)/bin/tamaracklatch-bench --json $(BUILD)/bench.json

# make soak SEEDS=100000 FIRST=10001: more random schedules of the replicated log than continuous integration runs.
SEEDS ?= 100000
FIRST ?= 10001
soak: build
	cd tests && TAMARACKLATCH_SCHEDULES=$(SEEDS) TAMARACKLATCH_FIRST_SEED=$(FIRST) \
	  ../$(BUILD)/tests/test-consensus --filter 'schedules/*' --jobs $$(nproc)

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i
