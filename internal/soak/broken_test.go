package soak

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/internal/rawserver"
)

const (
	// brokenDaemons is the number of daemons, brokenUploads that of the uploads of each form to each.
	brokenDaemons = 2
	brokenUploads = 30
	// wholeBody ends the body of each whole response.
	wholeBody = "-whole"
)

// answerForm is one way in which a server answers an upload.
type answerForm struct {
	// text is the response, in which ID stands for the ID of the request.
	text string
	// early is set if it is written before the upload is read, reset if the connection is reset then.
	early, reset bool
}

func answerForms() map[string]answerForm {
	const fields = "Request-Id: ID\r\nUpstream-Signature: sig-ID\r\n"
	unframed := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
	text := strings.Repeat("x", 5000)
	forms := map[string]answerForm{
		"sound-early": {text: unframed + text + wholeBody, early: true}, "sound-late": {text: unframed + text + wholeBody},
		"reset": {text: unframed + text, early: true, reset: true}, "reset-empty": {text: unframed, early: true, reset: true},
		"reset-long": {text: unframed + strings.Repeat(text, 80), early: true, reset: true},
	}
	number := 0
	for _, malformed := range []map[string]string{rawserver.MalformedStatus(fields, wholeBody), rawserver.MalformedFields(fields, wholeBody)} {
		for _, name := range slices.Sorted(maps.Keys(malformed)) {
			forms[fmt.Sprint("malformed-", number)] = answerForm{text: malformed[name]}
			number++
		}
	}
	return forms
}

// serveForms answers uploads in the form that their path names, and status checks in a sound way. Pauses
// before and after the response are drawn with draw.
func serveForms(id string, forms map[string]answerForm, draw func(n int) int) func(net.Conn) {
	return func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			form, ok := forms[strings.Split(req.URL.Path, "/")[1]]
			if !ok {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nUpstream-Load: 0,0,200,100\r\nContent-Length: 0\r\n\r\n", id)
				continue
			}
			if form.early {
				_, _ = io.CopyN(io.Discard, req.Body, int64(draw(200_000)))
			} else {
				_, _ = io.Copy(io.Discard, req.Body)
			}
			_, _ = io.WriteString(conn, strings.ReplaceAll(form.text, "ID", req.Header.Get("Request-Id")))
			time.Sleep(time.Duration(draw(20)) * time.Millisecond)
			if form.reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			return
		}
	}
}

// sendPaced sends an upload in pieces with the given pause and returns the response; err is that of reading it.
func (s *soak) sendPaced(d *daemon, form string, size int, pause time.Duration) (status int, body string, err error) {
	conn, err := net.Dial("tcp", d.caller)
	if err != nil {
		return 0, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	go func() {
		_, err := fmt.Fprintf(conn, "PUT /%s/ HTTP/1.1\r\nHost: h\r\nRequest-Id: b%d\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n",
			form, s.sequence.Add(1), size)
		for piece := strings.Repeat("x", 64<<10); size > 0 && err == nil; size -= len(piece) {
			_, err = io.WriteString(conn, piece[:min(size, len(piece))])
			time.Sleep(pause)
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// TestBrokenAnswers guards against callers of real processes who get a part of a response, or one with a
// malformed head, as a complete response, or the end of their connection in its place, and against sound
// responses that are rejected because only the end of the connection frames them.
func TestBrokenAnswers(t *testing.T) {
	random := rand.New(rand.NewPCG(*first, 7))
	s := newSoak(t, random, "5000ms")
	forms := answerForms()
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	var routes []any
	for name := range forms {
		routes = append(routes, map[string]any{
			"name": "r" + name, "hostname": "h", "prefix": "/" + name + "/", "kind": "non_idempotent", "timeout": "5000ms",
			"latency_target": "1500ms", "attempts": 2, "priority": 1, "service": "main",
		})
	}
	for n := range 4 {
		id := fmt.Sprint("i-", n)
		s.store.put("servers", id, map[string]any{
			"addr": rawserver.Start(t, serveForms(id, forms, draw)), "born": time.Now().UnixMilli(),
			"info":   map[string]any{"service": "main", "version": "v1", "zone": "a", "slots": 200},
			"status": map[string]any{"state": "ready", "seq": 1, "warmup_left": "0ms"},
		})
	}
	s.store.put("op", "config", map[string]any{
		"version": fmt.Sprintf("r%d", s.table.Add(3)), "routes": routes,
		"services": []any{map[string]any{"name": "main", "health_path": "/healthz", "max_conns": 260}},
		"limits":   map[string]any{"max_body_bytes": 16 << 20, "idle_timeout": "15000ms"},
	})
	s.startDaemons(buildDaemon(t), brokenDaemons)
	time.Sleep(2 * time.Second)
	var whole, rejected, cut atomic.Int64
	for range brokenUploads {
		var wg sync.WaitGroup
		for name, form := range forms {
			for _, d := range s.daemons {
				size, pause := 1+draw(5<<20), time.Duration(draw(4))*time.Millisecond
				if !form.early {
					size = 1 + draw(5000)
				}
				wg.Go(func() {
					status, body, err := s.sendPaced(d, name, size, pause)
					isWhole := status == http.StatusOK && err == nil
					switch {
					case strings.HasPrefix(name, "sound"):
						if !isWhole || !strings.HasSuffix(body, wholeBody) {
							t.Errorf("%s, upload of %d: %d with %d bytes: %v", name, size, status, len(body), err)
						}
						whole.Add(1)
					case isWhole || status == 0:
						t.Errorf("%s, upload of %d: %d with %d bytes: %v", name, size, status, len(body), err)
					case err != nil && name != "reset-long":
						t.Errorf("%s, upload of %d: the response broke off: %v", name, size, err)
					case err != nil:
						cut.Add(1)
					case status != http.StatusBadGateway:
						t.Errorf("%s, upload of %d: %d %s", name, size, status, body)
					default:
						rejected.Add(1)
					}
				})
			}
		}
		wg.Wait()
	}
	t.Logf("%d whole, %d rejected, %d broke off after they had begun", whole.Load(), rejected.Load(), cut.Load())
}
