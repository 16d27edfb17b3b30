// Package respcheck holds the rules by which responses are used or rejected. Everything that reads
// responses applies them here: package serverconn for requests and status checks to servers and for
// requests to peers, and the users of [net/http] through [Transport].
//
// The head of a response must begin with a version of HTTP/1 and a status from 100 to 999 other than 101,
// since no request asks for another protocol. Each line up to the empty one must be a field: its name is a
// token, its value has no control byte but the tab, and it is not folded.
//
// A response is whole once all that its framing announces has been received; if only the end of its
// connection frames it, the server has to close the connection in order, and the request has to be
// written to its end without an error.
package respcheck
