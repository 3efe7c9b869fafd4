GO ?= go
BIN := bin

.PHONY: all build test race lint demo up bench clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The whole suite, without the tests that KNOWN-RED.txt lists.
test: build
	./scripts/test.sh

# The race detector on all packages, and on the processes of some cells.
race:
	PACKAGES="$$($(GO) list ./... | grep -v -e /internal/e2e -e /platform/soak)" ./scripts/test.sh -race
	AGATEYARD_E2E_RACE=1 PACKAGES=./internal/e2e ./scripts/test.sh -run 'Requests|KilledEntry|Gang|Rolling'

lint:
	./scripts/lint.sh

demo: build
	./scripts/demo.sh

up: build
	./scripts/demo.sh --keep

bench:
	$(GO) test -run '^$$' -bench . -benchmem ./internal/...

clean:
	rm -rf $(BIN)
