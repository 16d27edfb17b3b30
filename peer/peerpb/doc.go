// Package peerpb contains the generated protobuf messages of the peer protocol.
package peerpb
