package wire

// The generated code is committed; a build needs no generator. To regenerate after a change of wire.proto, install
// protoc 3.21 (Debian's protobuf-compiler) and run go generate in this directory.
//go:generate sh -c "go build -o ./protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=./protoc-gen-go --go_out=. --go_opt=paths=source_relative wire.proto && rm protoc-gen-go"
