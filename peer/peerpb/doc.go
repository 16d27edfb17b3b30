// Package peerpb holds the generated messages of the peer protocol.
package peerpb
