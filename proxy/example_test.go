package proxy_test

import (
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/proxy"
	"github.com/pomelolock/pomelolock/table"
)

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "12 rolls")
	}))
	defer server.Close()
	current := table.NewCurrent()
	current.Swap(table.Compile(table.Document{
		Version:  1,
		Services: []table.Service{{Name: "stock", DeadlineMS: 2000, MaxBodyBytes: 1 << 20}},
		Routes:   []table.Route{{PathPrefix: "/stock", Service: "stock", Repeatable: true}},
		Servers: []table.Server{{
			Service: "stock", Name: "stock-1", Address: strings.TrimPrefix(server.URL, "http://"), Weight: 1, Slots: 6,
		}},
	}))
	front := httptest.NewServer(proxy.New(proxy.Options{
		Current:  current,
		Balancer: loadbalancer.NewBestOfTwo(current, nil),
		Logger:   slog.New(slog.DiscardHandler),
		Instance: "entry-1",
	}))
	defer front.Close()
	resp, err := http.Get(front.URL + "/stock/rolls")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	fmt.Println(resp.Header.Get(outcome.HeaderOutcome), string(body), err)
	// Output: ran 12 rolls <nil>
}
