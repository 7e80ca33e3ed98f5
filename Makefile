# Entry points for a person: each installs what is missing, builds, then runs.
.PHONY: build test demo bench soak format
BUILD ?= build

build:
	./tools/install-packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=Release
	cmake --build $(BUILD)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	./tools/demo $(BUILD)

bench: build
	$(BUILD)/bin/tamaracklatch-bench

format:
	git ls-files '*.cc' '*.h' | xargs clang-format -i
