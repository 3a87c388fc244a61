.PHONY: build demo upgrade record soak test bench added capacity claims race lint generate

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	./scripts/test.sh

lint:
	test -z "$$(go tool gofumpt -l .)"
	go vet ./...
	go tool revive -set_exit_status ./...

generate:
	go generate ./...

bench: build
	@mkdir -p out
	bin/poplarbench -svg out/bench.svg

added: build
	./scripts/added.sh

capacity: build
	./scripts/capacity.sh

race:
	./scripts/test.sh -race ./bufferer ./internal/acceptor ./internal/extender ./internal/guarder ./quarantiner ./reacher ./relayer ./runner ./pipeliner ./announcer ./watcher ./claimer ./prober ./resolver ./pooler ./limiter ./dispatcher ./internal/ring ./internal/logger ./forwarder ./tracker ./platform ./reporter ./apportioner

upgrade:
	./scripts/upgrade.sh

soak:
	./scripts/soak.sh

record:
	./scripts/record.sh $(COMMITS)

claims: build
	./scripts/claims.sh
