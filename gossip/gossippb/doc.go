// Package gossippb contains the generated Protocol Buffers messages that entry
// instances exchange.
package gossippb
