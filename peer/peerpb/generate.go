// Package peerpb holds the messages and the service between daemons,
// generated from peer.proto usage.proto and committed, so that a build needs no generator.
package peerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative peer.proto usage.proto
