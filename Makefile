# build, test, lint and run; everything goes to build/ and build-tests/
.PHONY: build test lint format run
SOURCES = $(wildcard src/*.cpp src/*.hpp src/drill/*.cpp src/net/*.cpp src/net/*.hpp tests/*.cpp tests/*.hpp)

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release -DTIDELINE_TESTS=OFF
	cmake --build build -j4

test:
	cmake -B build-tests -DCMAKE_BUILD_TYPE=Debug -DTIDELINE_STRICT=ON
	cmake --build build-tests -j4
	ctest --test-dir build-tests --output-on-failure

lint:
	clang-format --dry-run --Werror $(SOURCES)

format:
	clang-format -i $(SOURCES)

# PROXY_CONFIG names the configuration (see README.md)
run: build
	build/tideline
