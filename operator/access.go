package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"
)

const bearerPrefix = "Bearer "

// HashToken returns the SHA-256 checksum of a token in hexadecimal, as the settings
// contain it.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// requireOperator responds with status 401 to requests without an operator's
// certificate or token.
func (h *handler) requireOperator(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if hasClientCert(r) || h.hasValidToken(r) {
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

// hasClientCert reports whether the listener has verified a client certificate.
func hasClientCert(r *http.Request) bool {
	return r.TLS != nil && len(r.TLS.VerifiedChains) > 0
}

func (h *handler) hasValidToken(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found || token == "" || h.opts.TokenSHA256 == "" {
		return false
	}
	want := strings.ToLower(h.opts.TokenSHA256)
	return subtle.ConstantTimeCompare([]byte(HashToken(token)), []byte(want)) == 1
}

// authorName returns the common name of the operator's certificate, or fallback, the
// name in the request, if there is none.
func authorName(r *http.Request, fallback string) string {
	if hasClientCert(r) {
		if name := r.TLS.VerifiedChains[0][0].Subject.CommonName; name != "" {
			return name
		}
	}
	return fallback
}
