# Development commands of the repository. README.md describes each target.

CASES ?= test/cases
SEED ?= 1
SCENARIO ?= test/packets/CalmDay.yaml
RUNS ?= 50
GO_TEST_FLAGS ?= -count=1 -timeout 20m

.PHONY: all build demo emulate soak test lint format measure bench clean

all: build

build:
	go build -o bin/anvilglade ./cmd/anvilglade
	go build -o bin/agstand ./cmd/agstand

demo: build
	bin/agstand demo --anvilglade bin/anvilglade

emulate: build
	bin/agstand emulate --anvilglade bin/anvilglade --scenario $(SCENARIO) --seed $(SEED)

soak: build
	bin/agstand emulate --anvilglade bin/anvilglade --scenario test/packets/Soak.yaml --soak $(RUNS) --seed $(SEED)

test: build
	go test $(GO_TEST_FLAGS) ./...

bin/golangci-lint: tools/go.mod tools/go.sum
	cd tools && go build -o ../bin/golangci-lint github.com/golangci/golangci-lint/v2/cmd/golangci-lint

bin/gopls: tools/gopls/go.mod tools/gopls/go.sum
	cd tools/gopls && go build -o ../../bin/gopls golang.org/x/tools/gopls

lint: bin/golangci-lint
	cd tools && go run ./aghouse ..
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt ./...

measure: build
	bin/agstand measure --anvilglade bin/anvilglade --cases $(CASES) --case "$(CASE)" --seed $(SEED)

bench:
	go test -run '^$$' -bench . -benchmem ./...

clean:
	rm -rf bin
