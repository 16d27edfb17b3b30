package hop

import (
	"crypto/sha256"
	"io"
)

// Fingerprint returns a hash of the content of a request: the given parts of its request
// line and headers and the buffered part of its body, in chunks.
func Fingerprint(body [][]byte, parts ...string) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	for _, chunk := range body {
		_, _ = h.Write(chunk)
	}
	h.Sum(sum[:0])
	return sum
}
