# The packages by name: journal/ holds snapshots of older sources, which are records.
PACKAGES := ./dispatch/... ./internal/... ./cmd/...
CONFIG ?= $(PROXY_CONFIG)

# Where the bench's site files and what has to stand beside them lie.
SITES ?= ../given/kit/sites

.PHONY: build test lint run sites

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test $(PACKAGES)

lint:
	.ci/lint

run: build
	PROXY_CONFIG=$(CONFIG) exec bin/stoatweir

# The bench wants these three beside a site file; they are not ours to keep.
sites:
	install -m 644 $(SITES)/real.json $(SITES)/wire.json $(SITES)/unlock.txt deploy/sites/
