# Targets: build, test, lint, demo, verify, latency, bench, regress, capacity, proto.
GO ?= go
BIN := bin/auburnlead

.PHONY: build test lint demo verify latency bench regress capacity proto

build:
	$(GO) build -o $(BIN) ./cmd/auburnlead

lint:
	@unformatted="$$(gofmt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$'))"; \
	if [ -n "$$unformatted" ]; then echo "gofmt is needed for: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	$(GO) vet -tags crowd ./platform/crowd
	$(GO) tool staticcheck -tags crowd ./platform/crowd

# The tests of platform/crowd measure a process, so they run apart from others.
# Tests on a line "go test: NAME" of KNOWN-RED.txt are not run; NAME may be that of a
# subtest.
KNOWN_RED_TESTS = $(shell sed -n 's/^go test: //p' KNOWN-RED.txt | sed 's,/,$$/^,g; s,^,^,; s,$$,$$,' | paste -sd '|')
SKIP_KNOWN_RED = $(if $(KNOWN_RED_TESTS),-skip '$(KNOWN_RED_TESTS)')

test: lint
	$(GO) test -race -count=1 $(SKIP_KNOWN_RED) ./...
	$(GO) test -count=1 -run TestFleetStart ./plugins/config
	$(GO) test -count=1 -run 'TestHotPrompts' ./internal/bench
	$(GO) test -count=1 -run TestLateRequestsInPlannedStop ./plugins/gateway
	$(GO) test -count=1 -timeout 30m -tags crowd $(SKIP_KNOWN_RED) ./platform/crowd
	@echo "Known failures that do not fail this target (KNOWN-RED.txt):"; grep -E '^(bench short|go test):' KNOWN-RED.txt || true

# Runs a small fleet as separate processes on loopback and checks it from end to
# end, in under a minute.
demo: build
	./scripts/demo

# Checks the guarantees R1 to R7 in-process and with real processes under faults.
# make verify SEEDS=1000 runs them with more seeds.
verify: build
	./scripts/verify full $(SEEDS)

# Measures the latency that one router adds, and its memory with open streams.
latency: build
	./scripts/latency

# Measures the decisions of the routers against their targets and against simpler
# strategies; takes a few minutes. BENCH takes flags: -short, -seed N, -output
# json.
bench:
	$(GO) run ./internal/bench/cmd $(BENCH)

# Plays the standard days of the users' deployments and prints their worth beside
# the last committed scores:
#   make regress FLEETBENCH=path WHY="what was changed" SITES="site files"
# Without FLEETBENCH it compares the entries in journal/ that are not committed.
regress:
	$(GO) run ./internal/regress/cmd $(if $(FLEETBENCH),-bench "$(FLEETBENCH)" -why "$(WHY)" $(SITES))

# Measures costs per request, stream and router on this machine, extrapolates
# them and checks the limits at the target size.
capacity: build
	$(GO) build -o bin/capacity ./internal/capacity/cmd
	./scripts/capacity

# Regenerates the committed gRPC code. This needs protoc; the build does not.
proto:
	mkdir -p bin
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) build -o bin/protoc-gen-go-grpc google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH="$(CURDIR)/bin:$$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peerpb/peer.proto
