package table

import (
	"crypto/sha256"
	"encoding/hex"
)

// KeyHash is the SHA-256 hash of a key. Tables and indexes hold hashes, so that keys don't
// appear in stored data, logs or dumps of memory.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements [encoding.TextMarshaler].
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements [encoding.TextUnmarshaler]. It fails with [KeyHashError].
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return &KeyHashError{Length: len(text)}
	}
	if _, err := hex.Decode(h[:], text); err != nil {
		return &KeyHashError{Length: len(text), Err: err}
	}
	return nil
}

// KeyHashError reports a text that is not the hexadecimal hash of a key. It doesn't hold the
// text, which may be a key.
type KeyHashError struct {
	Length int
	Err    error
}

func (e *KeyHashError) Error() string { return "not the hexadecimal SHA-256 hash of a key" }

// Unwrap returns the cause.
func (e *KeyHashError) Unwrap() error { return e.Err }

// Workspace is a customer of the services: callers that share keys, a usage cap and a
// priority.
type Workspace struct {
	Name string `json:"name"`
	// KeyHashes are the hashes of the keys that callers identify themselves with.
	KeyHashes []KeyHash `json:"key_hashes,omitempty"`
	// Priority replaces the priority of the route if it is set.
	Priority *int `json:"priority,omitempty"`
	// RatePerSecond and Burst cap the workspace's requests over the whole fleet, as a
	// token bucket; a rate of zero means no cap.
	RatePerSecond float64 `json:"rate_per_second,omitempty"`
	Burst         float64 `json:"burst,omitempty"`
}
