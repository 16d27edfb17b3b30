package forward

import (
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/readings"
)

// Caller is the information in the headers of a caller's request.
type Caller struct {
	// ID identifies the request across all hops.
	ID string
	// Timeout is the timeout of the caller; zero if it sent none.
	Timeout time.Duration
	// Key is the key of the caller's workspace; "" if it sent none.
	Key string
}

// Response is the information in the headers of a backend server's response.
type Response struct {
	// RequestID is the ID of the request that the response belongs to; "" if it
	// is missing.
	RequestID string
	// NotRun is set if the server guarantees that it did not run the request.
	NotRun bool
	// Misdirected is set if another server than the addressed one received the
	// request and did not run it.
	Misdirected bool
	// Signed is set if the response carries the server's signature.
	Signed bool
	// Encoded is set if the body was encoded on the way and is not the data that
	// the server sent.
	Encoded bool
	// Report is the server's load report; nil if there is none.
	Report *readings.Report
	// Notice is what the server says about requests to come.
	Notice readings.Notice
}

// Protocol reads and writes the headers of callers and backend servers.
type Protocol interface {
	readings.Checker
	// Caller reads the headers of a caller's request.
	Caller(header http.Header) Caller
	// Address sets the headers of a request to the given server, which has the
	// time left to respond.
	Address(header http.Header, server string, left time.Duration)
	// Identify removes the caller's key from the header of a request to a backend server
	// and names the workspace, or none if it is "".
	Identify(header http.Header, workspace string)
	// Response reads the headers of a server's response.
	Response(resp *http.Response) Response
	// WriteError writes a response that pomelolock generates itself. id is the ID
	// of the request.
	WriteError(w http.ResponseWriter, failed *outcome.Error, id string) error
}
