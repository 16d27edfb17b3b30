// Package hop implements what proxies need to forward HTTP messages from one
// connection to another: removal of hop-by-hop fields, the rule for responses without
// a body, and fingerprints that identify equal requests.
package hop

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the fields of RFC 9110, section 7.6.1, and others that proxies
// usually remove.
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// EndToEnd returns a copy of header without hop-by-hop fields, including those that
// its Connection field lists. It never returns nil.
func EndToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, field := range header["Connection"] {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

// BodyAllowed reports whether a final response with the status may have a body, after
// RFC 9110, section 6.4.1.
func BodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
