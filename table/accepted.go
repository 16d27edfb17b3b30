package table

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
)

// Ref identifies an accepted version.
type Ref struct {
	Version      uint64 `json:"version"`
	AcceptanceID string `json:"acceptance_id"`
	// Sum is the SHA-256 of the compressed document, in hexadecimal.
	Sum string `json:"sum"`
}

// Accepted is an accepted document with its stored encoding.
type Accepted struct {
	Ref      Ref
	Document Document
	// Packed is the document as gzip-compressed JSON; Ref.Sum is its checksum.
	Packed []byte
}

// pack encodes and compresses a document before its acceptance.
func pack(doc Document) (Accepted, error) {
	data, err := json.Marshal(doc)
	if err != nil {
		return Accepted{}, fmt.Errorf("table: encode document: %w", err)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return Accepted{}, fmt.Errorf("table: compress document: %w", err)
	}
	if err := w.Close(); err != nil {
		return Accepted{}, fmt.Errorf("table: compress document: %w", err)
	}
	ref := Ref{Version: doc.Version, AcceptanceID: doc.AcceptanceID, Sum: checksum(b.Bytes())}
	return Accepted{Ref: ref, Document: doc, Packed: b.Bytes()}, nil
}

// unpack verifies packed against ref and decodes it. The acceptance ID is
// compared only if ref has one. It fails with [CorruptError] or [InvalidError].
func unpack(ref Ref, packed []byte) (Accepted, error) {
	if checksum(packed) != ref.Sum {
		return Accepted{}, &CorruptError{Version: ref.Version, Reason: "checksum differs"}
	}
	doc, err := decodePacked(ref, packed)
	if err != nil {
		return Accepted{}, err
	}
	ref.AcceptanceID = doc.AcceptanceID
	return Accepted{Ref: ref, Document: doc, Packed: packed}, nil
}

func decodePacked(ref Ref, packed []byte) (Document, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return Document{}, &CorruptError{Version: ref.Version, Reason: err.Error()}
	}
	data, err := io.ReadAll(io.LimitReader(r, MaxDocumentBytes+1))
	if err != nil {
		return Document{}, &CorruptError{Version: ref.Version, Reason: err.Error()}
	}
	if len(data) > MaxDocumentBytes {
		return Document{}, &CorruptError{Version: ref.Version, Reason: "document is too large"}
	}
	doc, err := decodeAccepted(data)
	if err != nil {
		return Document{}, err
	}
	if doc.Version != ref.Version || ref.AcceptanceID != "" && doc.AcceptanceID != ref.AcceptanceID {
		return Document{}, &CorruptError{Version: ref.Version, Reason: "document is another version"}
	}
	return doc, nil
}

func checksum(data []byte) string {
	digest := sha256.Sum256(data)
	return hex.EncodeToString(digest[:])
}
