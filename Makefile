# The two commands for a fresh machine are "make demo" and "make test".

GOLANGCI_VERSION := v2.15.0
BIN := $(CURDIR)/.bin
LINT := $(BIN)/golangci-lint

.PHONY: build demo fuzz test prove soak fault-soak mutants scale bench measure lint format generate clean

build:
	go build -o $(BIN)/ ./cmd/...

$(LINT):
	GOBIN=$(BIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run

format: $(LINT)
	$(LINT) fmt

# Generated code is committed; this makes it anew from the .proto files.
generate:
	GOBIN=$(BIN) go -C tools/buf install github.com/bufbuild/buf/cmd/buf
	GOBIN=$(BIN) go -C tools/protoc install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
	PATH="$(BIN):$$PATH" $(BIN)/buf generate

demo: build
	demo/demo.sh

# Decoders of what other writers may leave behind, each with FUZZ_TIME inputs beyond its corpus. A number
# of inputs instead of a duration, because a fuzzer may report the end of the duration as a failure.
FUZZ_TIME ?= 50000x
FUZZERS := FuzzDecodeWorker FuzzDecodeManifest FuzzDecodeRecords FuzzDecodeCopy FuzzDecodeCrashRecord FuzzDecodeStreams FuzzParseResponseHeaders FuzzStream
fuzz:
	for name in $(FUZZERS); do go test -run '^$$' -fuzz "^$$name\$$" -fuzztime $(FUZZ_TIME) ./platform || exit 1; done

test: lint
	go vet ./...
	go build ./...
	$(MAKE) fuzz
	go test -race -timeout 12m -json ./... | go run ./internal/verdict --known-red KNOWN-RED.txt
	$(MAKE) demo

# Every proof, as a table; BALSAMLOCK_SEEDS=n runs more seeds, BALSAMLOCK_SEED=n one.
prove:
	go test -count=1 -timeout 60m -json -run '^TestProof' ./... | go run ./internal/verdict --known-red KNOWN-RED.txt --proofs docs/PROOFS.md

# The whole system under random failures in virtual time, SEEDS runs from seed 1,
# or the one run of SEED.
SEEDS ?= 50
soak:
	BALSAMLOCK_SEEDS=$(SEEDS) BALSAMLOCK_SEED=$(SEED) go test -count=1 -timeout 80m -json -run '^TestProofSoak' ./entry | go run ./internal/verdict --known-red KNOWN-RED.txt --soak

# Real instances as processes of their own under faults from outside: SEEDS runs
# from seed FROM, or the one run of SEED.
FROM ?= 100
fault-soak:
	BALSAMLOCK_FAULT_SEEDS=$(SEEDS) BALSAMLOCK_FAULT_FROM=$(FROM) BALSAMLOCK_FAULT_SEED=$(SEED) go test -count=1 -timeout 60m -run '^TestFaultSoak$$' -v ./platform

# Cost of membership and load reports for each node at 8 to 380 nodes in virtual
# time; writes docs/measure/scale.json and prints the table of scale.txt.
scale:
	rm -f docs/measure/scale.txt
	BALSAMLOCK_SCALE=$(CURDIR)/docs/measure/scale.json go test -count=1 -timeout 10m -run '^TestScale$$' ./crew; \
		status=$$?; cat docs/measure/scale.txt; exit $$status

# Each mechanism switched off in turn: the proofs must notice.
mutants:
	scripts/mutants.sh

# The router's own time and the path over loopback, beside direct calls.
bench:
	go test -run '^$$' -bench . -benchmem ./... | grep -E '^(Benchmark|ok|FAIL|---)'

# Compares the policy of placement with its bounds, in virtual time. Figures and
# picture go to docs/measure/.
measure:
	go run ./cmd/balsamlock-replay measure --seeds 10 --output docs/measure

clean:
	rm -rf $(BIN)
