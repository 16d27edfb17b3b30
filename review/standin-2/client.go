package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is a request of a client.
type call struct {
	id, method, path, host, key string
	deadline                    time.Duration
	body                        []byte
	// header holds further lines, each with its line end.
	header string
}

func (c call) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&b, "X-Api-Key: %s\r\n", c.key)
	}
	if len(c.body) > 0 || c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString(c.header + "\r\n")
	return b.Bytes()
}

// result is what a client saw of a request. Status is 0 if there was no complete answer.
type result struct {
	status int
	// close is set if the answer says that the channel closes.
	close  bool
	header http.Header
	body   []byte
	err    error
	at     time.Time
}

// errClosed is the error of an answer that a closed channel can no longer bring.
var errClosed = errors.New("the channel was closed before")

// channel is a client's connection.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// read reads one answer.
func (c *channel) read(method string, limit time.Duration) result {
	_ = c.conn.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return result{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		return result{header: resp.Header, body: body, err: err, at: time.Now()}
	}
	return result{status: resp.StatusCode, close: resp.Close, header: resp.Header, body: body, at: time.Now()}
}

// do sends a request on a channel and reads its answer.
func (c *channel) do(q call) result {
	if _, err := c.conn.Write(append(q.head(), q.body...)); err != nil {
		return result{err: err, at: time.Now()}
	}
	return c.read(q.method, q.deadline+500*time.Millisecond)
}

// once sends a request on a new channel.
func once(address string, q call) result {
	c, err := dial(address)
	if err != nil {
		return result{err: err, at: time.Now()}
	}
	defer c.conn.Close()
	return c.do(q)
}
