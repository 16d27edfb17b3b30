package respcheck

import (
	"fmt"
	"net/http"
)

// maxExcerpt is the number of bytes of a malformed line that a [HeadError] quotes.
const maxExcerpt = 48

// HeadError reports a response whose head is malformed.
type HeadError struct {
	// Line is the number of the malformed line; the status line is 1.
	Line int
	// Reason says what is wrong, Excerpt is the end of the line up to the byte that can't stand there.
	Reason  string
	Excerpt string
}

func (e *HeadError) Error() string {
	return fmt.Sprintf("respcheck: malformed response head, line %d: %s: %q", e.Line, e.Reason, e.Excerpt)
}

// headState is what a [headChecker] expects next.
type headState uint8

const (
	inVersion headState = iota
	afterVersion
	inStatus
	afterStatus
	inReason
	atField
	inName
	inValue
	// atLineFeed and atLastLineFeed follow a carriage return, the second one in the empty line.
	atLineFeed
	atLastLineFeed
	// headEnded is the state after the head of a final response.
	headEnded
)

const versionPrefix = "HTTP/1."

// headChecker checks the head of a response and of the interim ones before it. The zero value
// expects a head.
type headChecker struct {
	state headState
	// line counts the line ends before, matched the bytes of the version or the digits of the status.
	line, matched int
	status        int
	// begun holds the last bytes of a line that was checked in part.
	begun []byte
}

// check checks the next bytes up to the end of a final head. It returns the number of bytes that may be
// passed on, which are all of them unless it fails.
func (h *headChecker) check(p []byte) (n int, err error) {
	lineStart := 0
	for i, c := range p {
		if h.state == headEnded {
			return len(p), nil
		}
		if reason := h.next(c); reason != "" {
			h.keepEnd(p[lineStart : i+1])
			return i + 1, &HeadError{Line: h.line + 1, Reason: reason, Excerpt: string(h.begun)}
		}
		if c == '\n' {
			h.line++
			h.begun = h.begun[:0]
			lineStart = i + 1
		}
	}
	if h.state != headEnded {
		h.keepEnd(p[lineStart:])
	}
	return len(p), nil
}

// keepEnd keeps the last bytes of the line so far.
func (h *headChecker) keepEnd(more []byte) {
	h.begun = append(h.begun, more[max(0, len(more)-maxExcerpt):]...)
	h.begun = h.begun[max(0, len(h.begun)-maxExcerpt):]
}

// next checks one byte. It returns the reason why it can't stand there, if any.
func (h *headChecker) next(c byte) (reason string) {
	switch h.state {
	case inVersion:
		return h.version(c)
	case afterVersion:
		if c == ' ' {
			h.state = inStatus
			return ""
		}
		return "the version is malformed"
	case inStatus:
		return h.statusDigit(c)
	case afterStatus, inReason:
		if c == ' ' && h.state == afterStatus {
			h.state = inReason
			return ""
		}
		if h.state == inReason && isText(c) || h.lineEnd(c) {
			return ""
		}
		return "the status line is malformed"
	case atField:
		return h.fieldStart(c)
	case inName:
		if c == ':' {
			h.state = inValue
		} else if !isToken[c] {
			return "the name of a field is no token"
		}
	case inValue:
		if !isText(c) && !h.lineEnd(c) {
			return "the value of a field holds a control byte"
		}
	case atLineFeed, atLastLineFeed:
		if c != '\n' {
			return "a carriage return is not at the end of a line"
		}
		if h.state == atLastLineFeed {
			h.end()
		} else {
			h.state = atField
		}
	case headEnded:
	}
	return ""
}

func (h *headChecker) version(c byte) (reason string) {
	switch {
	case h.matched < len(versionPrefix) && c == versionPrefix[h.matched]:
		h.matched++
	case h.matched == len(versionPrefix) && isDigit(c):
		h.state, h.matched, h.status = afterVersion, 0, 0
	default:
		return "it does not begin with a version of HTTP/1"
	}
	return ""
}

func (h *headChecker) statusDigit(c byte) (reason string) {
	if c == ' ' && h.matched == 0 {
		return ""
	}
	if !isDigit(c) || c == '0' && h.matched == 0 {
		return "the status is not a number from 100 to 999"
	}
	h.status = 10*h.status + int(c-'0')
	if h.matched++; h.matched < 3 {
		return ""
	}
	if h.status == http.StatusSwitchingProtocols {
		return "the protocol is switched, which no request asks for"
	}
	h.state = afterStatus
	return ""
}

func (h *headChecker) fieldStart(c byte) (reason string) {
	switch {
	case isToken[c]:
		h.state = inName
	case c == '\n':
		h.end()
	case c == '\r':
		h.state = atLastLineFeed
	case c == ' ' || c == '\t':
		return "a field begins with a blank or is folded"
	default:
		return "the name of a field is no token"
	}
	return ""
}

// lineEnd reports whether the byte ends the line, and expects what follows.
func (h *headChecker) lineEnd(c byte) bool {
	switch c {
	case '\r':
		h.state = atLineFeed
	case '\n':
		h.state = atField
	default:
		return false
	}
	return true
}

// end ends the head. Another one follows an interim response.
func (h *headChecker) end() {
	if h.status >= http.StatusOK {
		h.state = headEnded
		return
	}
	// The line feed that ends the head is counted after this.
	*h = headChecker{line: -1}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isText reports whether a byte may stand in the value of a field or in a reason.
func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// isToken holds the bytes of which the name of a field consists, after RFC 9110, section 5.6.2.
var isToken = func() (table [256]bool) {
	for c := range table {
		table[c] = isDigit(byte(c)) || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z'
	}
	for _, c := range []byte("!#$%&'*+-.^_`|~") {
		table[c] = true
	}
	return table
}()
