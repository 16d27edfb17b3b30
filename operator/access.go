package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const bearer = "Bearer "

// HashToken returns the checksum of a token that settings hold.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// onlyOperators refuses requests without an operator's certificate or token.
func (h *handler) onlyOperators(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if certified(r) || h.knowsToken(r) {
			next(w, r)
			return
		}
		h.log.Warn("operator_refused", "remote", r.RemoteAddr, "path", r.URL.Path)
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeJSON(w, http.StatusUnauthorized, Failure{
			Code:   CodeUnauthorized,
			Detail: "an operator's certificate or token is required",
		})
	}
}

// certified reports whether the listener verified a client certificate.
func certified(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (h *handler) knowsToken(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !found || token == "" || h.opts.TokenSHA256 == "" {
		return false
	}
	want := strings.ToLower(h.opts.TokenSHA256)
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(want)) == 1
}

// authorOf returns the name in the operator's certificate, or else the one that
// the request gives.
func authorOf(r *http.Request, given string) string {
	if certified(r) {
		if name := r.TLS.VerifiedChains[0][0].Subject.CommonName; name != "" {
			return name
		}
	}
	return given
}
