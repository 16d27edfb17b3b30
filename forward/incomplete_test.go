package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
)

// unframed is a server that answers uploads with a body without a length.
type unframed struct {
	// body is the size of the body.
	body int
	// readBefore is the number of bytes of the upload that are read before the answer; all if negative.
	readBefore int64
	// pause is the time between pieces of the answer, of which there are at most 4.
	pause time.Duration
	// end ends the connection.
	end func(conn *net.TCPConn, upload io.Reader)
}

func (s unframed) serve(conn net.Conn) {
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if s.readBefore < 0 {
		_, _ = io.Copy(io.Discard, req.Body)
	} else {
		_, _ = io.CopyN(io.Discard, req.Body, s.readBefore)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n\r\n", req.Header.Get("Request-Id"), signed)
	for left := s.body; left > 0; {
		piece := min(left, s.body/4+1)
		_, _ = io.WriteString(conn, strings.Repeat("x", piece))
		left -= piece
		time.Sleep(s.pause)
	}
	s.end(conn.(*net.TCPConn), req.Body)
}

// resetAfter resets the connection after a pause in which what was written before can arrive.
func resetAfter(pause time.Duration) func(*net.TCPConn, io.Reader) {
	return func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(pause)
		reset(conn, nil)
	}
}

// closeThenReset ends the answer in order, but the rest of the upload meets a closed connection.
func closeThenReset(conn *net.TCPConn, _ io.Reader) {
	_ = conn.CloseWrite()
	time.Sleep(20 * time.Millisecond)
	reset(conn, nil)
}

// readOn reads the upload to its end, which ends the answer, too.
func readOn(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }

// endAndReadOn ends the answer before it reads the upload to its end.
func endAndReadOn(conn *net.TCPConn, upload io.Reader) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, upload)
}

// upload sends a request with a body of the given size in pieces, with a pause after each, and returns
// its ID.
func upload(t *testing.T, conn net.Conn, path string, size int, inChunks bool, pause time.Duration) (id string) {
	t.Helper()
	id = fmt.Sprintf("u%d", sequence.Add(1))
	framing := fmt.Sprintf("Content-Length: %d", size)
	if inChunks {
		framing = "Transfer-Encoding: chunked"
	}
	_, err := fmt.Fprintf(conn, "PUT %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: 2000\r\n%s\r\n\r\n", path, id, framing)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for left := size; left > 0; {
			piece := min(left, 64<<10)
			text := strings.Repeat("x", piece)
			if inChunks {
				text = fmt.Sprintf("%x\r\n%s\r\n", piece, text)
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
			left -= piece
			time.Sleep(pause)
		}
		if inChunks {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
	}()
	return id
}

// TestPartOfAResponseToAnUploadIsNotPassedOnAsWhole guards against a success with a part of the body: the
// server answers an upload without a length, and resets the connection while the upload is being
// written.
func TestPartOfAResponseToAnUploadIsNotPassedOnAsWhole(t *testing.T) {
	const kept = 256 << 10
	ends := map[string]func(*net.TCPConn, io.Reader){
		"reset at once": resetAfter(0), "reset": resetAfter(30 * time.Millisecond), "closed, then reset": closeThenReset,
	}
	orders := map[string]func(net.Conn, int) net.Conn{
		"any":   func(conn net.Conn, _ int) net.Conn { return conn },
		"write": func(conn net.Conn, bytes int) net.Conn { return rawserver.NewOrderedConn(conn, true, bytes) },
		"read":  func(conn net.Conn, _ int) net.Conn { return rawserver.NewOrderedConn(conn, false, 96<<10) },
	}
	for endName, end := range ends {
		for first, order := range orders {
			if first != "any" && endName == "reset at once" {
				// It may come before the response has been read or while the first bytes are written.
				continue
			}
			for _, part := range []int{0, 5000, kept + 50_000} {
				for _, size := range []int{400 << 10, 6 << 20} {
					if size < 1<<20 && (first == "write" || endName == "closed, then reset") {
						// The kernel takes all of the upload, so that no write meets the reset.
						continue
					}
					if first == "read" && endName == "closed, then reset" {
						// A read meets the close only.
						continue
					}
					for _, inChunks := range []bool{false, true} {
						name := fmt.Sprintf("%s, %s meets it, body of %d, upload of %d, chunks %v", endName, first, part, size, inChunks)
						t.Run(name, func(t *testing.T) {
							t.Parallel()
							g := gomega.NewWithT(t)
							s := unframed{body: part, readBefore: 10_000, pause: time.Millisecond, end: end}
							f := newFixture(t, startRawServer(t, "s1", s.serve))
							dial := f.pool.Dial
							f.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
								conn, err := dial(ctx, network, address)
								return order(conn, part), err
							}
							conn, reader := f.dialCaller(t)
							id := upload(t, conn, "/order/", size, inChunks, 2*time.Millisecond)
							resp, err := http.ReadResponse(reader, nil)
							g.Expect(err).NotTo(gomega.HaveOccurred())
							body, err := io.ReadAll(resp.Body)
							if resp.StatusCode == http.StatusOK {
								g.Expect(part).To(gomega.BeNumerically(">", kept))
								g.Expect(err).To(gomega.HaveOccurred(), "with %d bytes", len(body))
								g.Eventually(f.logs.String).Should(gomega.MatchRegexp(`"answer broke off" request=%s .*error=`, id))
								return
							}
							g.Expect(err).NotTo(gomega.HaveOccurred())
							g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadGateway))
							g.Expect(resp.Header.Get("Upstream-Signature")).To(gomega.BeEmpty())
							g.Expect(f.logs.String()).To(gomega.MatchRegexp(`"attempt failed" request=%s .*not_run=false .*error=`, id))
						})
					}
				}
			}
		}
	}
}

// TestRepeatableUploadWithABrokenResponseGoesToAnotherServer guards against a caller who gets an error
// although another server may run the request.
func TestRepeatableUploadWithABrokenResponseGoesToAnotherServer(t *testing.T) {
	g := gomega.NewWithT(t)
	var connections atomic.Int64
	serve := func(conn net.Conn) {
		if connections.Add(1) == 1 {
			unframed{body: 5000, end: resetAfter(30 * time.Millisecond)}.serve(conn)
			return
		}
		unframed{body: 70, readBefore: -1, end: readOn}.serve(conn)
	}
	f := newFixture(t, startRawServer(t, "s1", serve), startRawServer(t, "s2", serve))
	conn, reader := f.dialCaller(t)
	upload(t, conn, "/look/", 400<<10, false, 0)
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	g.Expect(len(body)).To(gomega.Equal(70))
	g.Expect(connections.Load()).To(gomega.BeEquivalentTo(2))
}

// TestWholeResponseWithoutLengthIsPassedOn guards against sound responses that are rejected because only
// the end of their connection ends them.
func TestWholeResponseWithoutLengthIsPassedOn(t *testing.T) {
	for when, s := range map[string]unframed{
		"after the upload":                 {readBefore: -1, end: readOn},
		"after the upload, slowly":         {readBefore: -1, pause: 30 * time.Millisecond, end: readOn},
		"early, upload read on":            {end: readOn},
		"early, ended, upload read on":     {end: endAndReadOn},
		"early, slowly, upload read on":    {readBefore: 10_000, pause: 30 * time.Millisecond, end: readOn},
		"early, ended later, upload is on": {readBefore: 10_000, pause: 30 * time.Millisecond, end: endAndReadOn},
	} {
		for _, body := range []int{0, 5000, 300 << 10} {
			for _, size := range []int{0, 1000, 400 << 10, 6 << 20} {
				for _, inChunks := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, body of %d, upload of %d, chunks %v", when, body, size, inChunks), func(t *testing.T) {
						t.Parallel()
						g := gomega.NewWithT(t)
						sized := s
						sized.body = body
						f := newFixture(t, startRawServer(t, "s1", sized.serve))
						conn, reader := f.dialCaller(t)
						upload(t, conn, "/order/", size, inChunks, time.Millisecond)
						resp, err := http.ReadResponse(reader, nil)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						got, err := io.ReadAll(resp.Body)
						g.Expect(err).NotTo(gomega.HaveOccurred())
						g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
						g.Expect(resp.Header.Get("Upstream-Signature")).To(gomega.Equal("sig"))
						g.Expect(len(got)).To(gomega.Equal(body))
					})
				}
			}
		}
	}
}

// TestCallerThatLeavesBeforeItsUploadIsWrittenEndsTheRequest guards against a server that goes on reading an
// upload whose caller has left, while the end of its response is held back until the upload is written.
func TestCallerThatLeavesBeforeItsUploadIsWrittenEndsTheRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	answered, ended := make(chan struct{}), make(chan struct{})
	s := unframed{body: 100, end: func(conn *net.TCPConn, upload io.Reader) {
		_ = conn.CloseWrite()
		close(answered)
		_, _ = io.Copy(io.Discard, upload)
		close(ended)
	}}
	f := newFixture(t, startRawServer(t, "s1", s.serve))
	conn, _ := f.dialCaller(t)
	upload(t, conn, "/order/", 7<<20, false, 15*time.Millisecond)
	g.Eventually(answered).WithTimeout(time.Second).Should(gomega.BeClosed())
	g.Consistently(ended).WithTimeout(50 * time.Millisecond).ShouldNot(gomega.BeClosed())
	conn.Close()
	g.Eventually(ended).WithTimeout(500 * time.Millisecond).Should(gomega.BeClosed())
}
