.PHONY: build demo test bench lint generate

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	go test -count=1 $(TESTFLAGS) ./...

lint:
	test -z "$$(go tool gofumpt -l .)"
	go vet ./...
	go tool revive -set_exit_status ./...

generate:
	go generate ./...

bench: build
	@mkdir -p out
	bin/poplarbench -svg out/bench.svg
