# What a newcomer needs; CI runs lint and test.
.PHONY: build test lint run

build:
	cargo build --release

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# make run CONFIG=file.json
run: build
	target/release/topazsail serve $(if $(CONFIG),--config $(CONFIG))
