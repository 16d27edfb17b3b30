package rawserver

import (
	"fmt"
	"strings"
)

// MalformedStatus returns responses with a status line that no response may have. They have the given
// fields, each with its line end, a length and the body, which would otherwise be those of a success.
func MalformedStatus(fields, body string) map[string]string {
	rest := framed(fields, body)
	responses := map[string]string{
		"000 after an interim response": "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 000 X\r\n" + rest,
		"000 before a response":         "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"000 without a length":          "HTTP/1.1 000 X\r\n" + fields + "\r\n" + body,
		"a switch of protocols":         "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"another version":               "HTTP/2.0 200 OK\r\n" + rest,
	}
	for _, status := range []string{"000", "000 ", "000 X", "099 X", "001 X", "+20 X", "-00 X", "-20 X", "0 X", "20 X", "2000 X", "20x X", "X"} {
		responses[fmt.Sprintf("status %q", status)] = "HTTP/1.1 " + status + "\r\n" + rest
	}
	return responses
}

// MalformedFields returns responses with a status of 200 and one more line that is no field. They have
// the given fields, each with its line end, a length and the body.
func MalformedFields(fields, body string) map[string]string {
	const ok = "HTTP/1.1 200 OK\r\n"
	responses := make(map[string]string)
	for _, line := range []string{
		"Own Name: 1", "Own : 1", "Own\t: 1", " Own: 1", "\tOwn: 1", "\x01Own: 1", "Own\x01: 1", "Ow\x00n: 1", "Own\x7f: 1", "Own\x0b: 1",
		"Own\rName: 1", "\r Own: 1", ": 1", "Own", "Ow\xa0n: 1", "Own(1): 1", "Own: 1\x00", "Own: 1\rName: 2", " folded",
	} {
		responses[fmt.Sprintf("line %q", line)] = ok + fields + line + "\r\n" + framed("", body)
		responses[fmt.Sprintf("line %q, last", line)] = ok + strings.TrimSuffix(framed(fields, body), "\r\n"+body) + line + "\r\n\r\n" + body
	}
	for _, line := range []string{"Content-Length : %d", "Content-Length\t: %d", " Content-Length: %d", "Content Length: %d"} {
		responses[fmt.Sprintf("line %q", line)] = ok + fields + fmt.Sprintf(line, len(body)) + "\r\n\r\n" + body
	}
	for _, line := range []string{"Transfer-Encoding : chunked", " Transfer-Encoding: chunked"} {
		responses[fmt.Sprintf("line %q", line)] = ok + fields + line + "\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	}
	return responses
}

// framed returns the fields with a length, the end of the head and the body.
func framed(fields, body string) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", fields, len(body), body)
}
