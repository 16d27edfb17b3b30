package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"golang.org/x/net/http/httpguts"
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

// WorkspaceError reports a workspace that makes a table unusable. It holds no keys and no
// hashes.
type WorkspaceError struct {
	// Index and Name locate the workspace in the table.
	Index int
	Name  string
	// Conflict is set if the fault is that a key or the name is also that of the workspace
	// with the index Other and the name OtherName.
	Conflict  bool
	Other     int
	OtherName string
	Reason    string
}

func (e *WorkspaceError) Error() string {
	if !e.Conflict {
		return fmt.Sprintf("workspaces[%d] (%q): %s", e.Index, e.Name, e.Reason)
	}
	return fmt.Sprintf("workspaces[%d] (%q): %s workspaces[%d] (%q)", e.Index, e.Name, e.Reason, e.Other, e.OtherName)
}

// CheckWorkspaces checks that each key and each name belongs to one workspace, that a name
// reaches backend servers unchanged in a header, and that no cap is negative. It fails with [WorkspaceError].
func CheckWorkspaces(workspaces []Workspace) error {
	names, keys := make(map[string]int, len(workspaces)), make(map[KeyHash]int)
	for i, w := range workspaces {
		fault := &WorkspaceError{Index: i, Name: w.Name}
		if w.Name == "" {
			fault.Reason = "the name is empty"
			return fault
		}
		if w.RatePerSecond < 0 || w.Burst < 0 {
			fault.Reason = "the rate or the burst is negative"
			return fault
		}
		if !httpguts.ValidHeaderFieldValue(w.Name) || strings.TrimSpace(w.Name) != w.Name {
			fault.Reason = "the name is not usable as the value of a header"
			return fault
		}
		if first, ok := names[w.Name]; ok {
			return fault.conflict("has the same name as", first, workspaces)
		}
		names[w.Name] = i
		for _, hash := range w.KeyHashes {
			if first, ok := keys[hash]; ok && first != i {
				return fault.conflict("has a key that is also one of", first, workspaces)
			}
			keys[hash] = i
		}
	}
	return nil
}

func (e *WorkspaceError) conflict(reason string, first int, workspaces []Workspace) *WorkspaceError {
	e.Conflict, e.Reason, e.Other, e.OtherName = true, reason, first, workspaces[first].Name
	return e
}
