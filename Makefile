# Targets of the project; each runs from a fresh clone.

build:
	go build -o bin/heatherwood ./cmd/heatherwood

demo: build
	bin/heatherwood demo

test:
	go test -race ./...

check:
	bash .ci/run

format:
	go tool -modfile=tools/go.mod gofumpt -w cmd internal pkg examples platform

bench:
	go test -run '^$$' -bench . ./internal/plan ./internal/routing ./internal/callerhttp ./internal/node ./internal/demo ./pkg/document

capacity:
	go run ./cmd/capacity

trials:
	go run ./cmd/trial --site plaques
	go run ./cmd/trial --site pottery

soak:
	HEATHERWOOD_SOAK=5m go test ./internal/demo -run TestKilledProcesses -v -timeout 20m
	HEATHERWOOD_SOAK_SEEDS=10 go test ./platform -run TestSoak -v -timeout 20m
	HEATHERWOOD_OPERATIONS=20s go test ./platform -run 'TestPromisesHold|TestOperationsRunOnce' -parallel 3 -v -timeout 20m
	HEATHERWOOD_FLEET=1 go test ./internal/capacity -run TestLimitHoldsOverTheFleet/510 -parallel 1 -v -timeout 20m

fuzz:
	go test -run '^$$' -fuzz FuzzParse -fuzztime 30s ./pkg/document
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 30s ./internal/backendhttp
	go test -run '^$$' -fuzz FuzzReadSegment -fuzztime 30s ./internal/disk

.PHONY: build demo test check format bench capacity trials soak fuzz
