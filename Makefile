# What a newcomer needs; CI runs lint and test.
.PHONY: lab build test lint run

# The main job, shown: a quiet scenario through the real dispatcher on sockets, judged and reported.
lab:
	cargo build --release --locked -p topazsail-node -p topazsail-lab
	target/release/topazsail-lab run lab/scenarios/quiet.toml --clock sockets --report lab-report

build:
	cargo build --release

# The fault shim first: tests load it into the processes that they start.
test:
	cargo build --locked -p topazsail-fault-shim
	cargo test --workspace --locked $(TEST_ARGS)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# make run CONFIG=file.json
run: build
	target/release/topazsail serve $(if $(CONFIG),--config $(CONFIG))
