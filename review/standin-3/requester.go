package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// sentRequest is one request of a requester and its answer.
type sentRequest struct {
	id, path, key string
	at            time.Time
	// status is 0 if there was no answer.
	status int
}

// requester sends requests, one after the other.
type requester struct {
	record *record
	// method is POST if it is empty. workMS is how long an upstream works on a request.
	method string
	workMS int
	// name distinguishes the ids of several requesters.
	name uint16
	sent []sentRequest
}

// send sends a request to a daemon, with a key unless it is empty, and records the answer.
func (r *requester) send(d *daemon, path, key string) {
	q := sentRequest{id: fmt.Sprintf("%04x%012x", r.name, len(r.sent)+1), path: path, key: key}
	method := r.method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+d.front+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set("Request-Id", q.id)
	req.Header.Set("Deadline-Ms", "1000")
	if r.workMS > 0 {
		req.Header.Set(workHeader, strconv.Itoa(r.workMS))
	}
	note := ""
	if key != "" {
		req.Header.Set("X-Api-Key", key)
		note = " with " + key
	}
	client := http.Client{Timeout: 2 * time.Second}
	q.at = time.Now()
	resp, err := client.Do(req)
	if err != nil {
		r.record.line(q.at, "%s to %s %s%s: %v", q.id, d.name, path, note, err)
	} else {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		q.status = resp.StatusCode
		ending := ""
		if err != nil {
			ending = ", broken off"
		}
		r.record.line(q.at, "%s to %s %s%s: %d%s after %v", q.id, d.name, path, note, q.status, ending, time.Since(q.at).Round(time.Millisecond))
	}
	r.sent = append(r.sent, q)
}

// served reports whether an upstream ran one of the requests that were sent since the nth.
func (r *requester) served(runs *journal, from int, fits func(sentRequest) bool) bool {
	for _, q := range r.sent[from:] {
		if fits(q) && len(runs.of(q.id)) > 0 {
			return true
		}
	}
	return false
}
