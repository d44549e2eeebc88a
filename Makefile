# The packages by name: journal/ holds snapshots of older sources, which are records.
PACKAGES := ./dispatch/... ./internal/... ./cmd/...
CONFIG ?= $(PROXY_CONFIG)

.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test $(PACKAGES)

lint:
	@test -z "$$(gofmt -l dispatch internal cmd)" || { gofmt -l dispatch internal cmd; exit 1; }
	go vet $(PACKAGES)

run: build
	PROXY_CONFIG=$(CONFIG) exec bin/stoatweir
