# make demo    installs the packages, builds, and runs the software with fake
#              endpoints and a fake platform.
# make check   installs the packages, builds with warnings as errors, checks
#              the format, runs the linter, and runs all tests, also under the
#              sanitizers, and the ablations as make ablate does.
# make ablate  disables each mechanism of tests/ablations.txt and checks that
#              the tests notice.
# make soak    runs the soak test with injected faults, once for each seed.
# make soak-ablate
#              disables each mechanism of tests/soak/ablations.txt and checks
#              that the soak notices.
# make bench, bench-policy, bench-capacity, bench-config
#              run measurements; see docs/BENCHMARKS.md and docs/CAPACITY.md.

PACKAGES = gcc cmake ninja-build pkg-config clang-format clang-tidy curl \
	libglib2.0-dev libmicrohttpd-dev libmsgpack-dev \
	liburcu-dev libargtable2-dev libjansson-dev libxxhash-dev \
	libhttp-parser-dev
JOBS ?= $(shell nproc)
SOURCES = $(wildcard core/*.[ch] io/*.[ch] entry/*.[ch] agent/*.[ch] \
	operator/*.[ch] gateway/*.[ch] platform/*.[ch] tests/*.[ch] tests/unit/*.[ch] tests/fakes/*.[ch] tests/soak/*.[ch] bench/*.[ch])

.PHONY: all install demo check ablate soak soak-ablate format lint bench bench-policy bench-capacity bench-config clean

all: build/build.ninja
	ninja -C build -j $(JOBS)

install:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
		{ apt-get update -qq && apt-get install -y -qq $(PACKAGES); }

build/build.ninja:
	cmake -S . -B build -G Ninja >/dev/null

demo: install all
	BIN=$(CURDIR)/build bash tests/demo.sh

format:
	clang-format --dry-run --Werror $(SOURCES)

lint: all
	printf '%s\n' $(filter %.c,$(SOURCES)) | \
		xargs -P $(JOBS) -n 1 clang-tidy -p build --quiet

check: install all
	bash tests/check.sh

bench: install all
	BIN=$(CURDIR)/build bash bench/bench.sh

bench-policy: install all
	BIN=$(CURDIR)/build bash bench/policy.sh

bench-capacity: install all
	BIN=$(CURDIR)/build bash bench/capacity.sh

bench-config: all
	build/config_steps

ablate: install
	bash tests/ablate.sh

# For other seeds: make soak SEEDS="1 2 3"; see tests/soak/README.md.
SEEDS ?= $(shell sed -n 's/^\([0-9][0-9]*\) .*/\1/p' tests/soak/seeds.txt)
SOAK_SECONDS ?= 30
SOAK_BIN ?= build
soak: install all
	bash tests/soak/run.sh "$(SOAK_BIN)" "$(SOAK_SECONDS)" $(SEEDS)

soak-ablate: install
	bash tests/soak/ablate.sh

clean:
	rm -rf build build-asan build-tsan
