GO ?= go
BIN := bin

.PHONY: all build test race lint demo up bench clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# The whole suite, without the tests that KNOWN-RED.txt lists.
test: build
	./scripts/test.sh

race:
	./scripts/test.sh -race

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
