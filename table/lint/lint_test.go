package lint_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/table"
	"github.com/pomelolock/pomelolock/table/lint"
)

// clean returns a table without findings: routes to the services x and y, with one server each
// on the own fleet and two workspaces on the users' platform.
func clean(fleet lint.Fleet) table.Document {
	var doc table.Document
	doc.Fleet.SetDefaults()
	for i, name := range []string{"x", "y"} {
		var service table.Service
		service.SetDefaults()
		service.Name = name
		doc.Services = append(doc.Services, service)
		doc.Routes = append(doc.Routes, table.Route{PathPrefix: "/" + name + "/", Service: name, TargetMS: 300})
		if fleet == lint.OwnFleet {
			var server table.Server
			server.SetDefaults()
			server.Service, server.Name, server.DataCentre, server.Slots, server.Connections = name, name+"-1", "d", 4, 9
			server.Address = fmt.Sprintf("127.0.0.1:%d", 7001+i)
			doc.Servers = append(doc.Servers, server)
		}
	}
	if fleet == lint.UsersPlatform {
		doc.Workspaces = []table.Workspace{
			{Name: "w", KeyHashes: []table.KeyHash{table.HashKey("key of w")}, RatePerSecond: 5, Burst: 10},
			{Name: "v", KeyHashes: []table.KeyHash{table.HashKey("key of v")}},
		}
	}
	return doc
}

var (
	own      = []lint.Fleet{lint.OwnFleet}
	platform = []lint.Fleet{lint.UsersPlatform}
	both     = []lint.Fleet{lint.OwnFleet, lint.UsersPlatform}
)

// TestWarnings guards against warnings that are missed, have the wrong type or place, or come
// with others that don't apply.
func TestWarnings(t *testing.T) {
	for _, c := range []struct {
		name   string
		fleets []lint.Fleet
		change func(*table.Document)
		code   lint.Code
		place  string
	}{
		{"none", both, func(*table.Document) {}, "", ""},
		{"same key with the host in capitals", platform, func(d *table.Document) {
			d.Routes[0].Host = "h"
			d.Routes = append(d.Routes, d.Routes[0])
			d.Routes[2].Host = "H"
		}, lint.ShadowedRoute, "routes, row 3, column path_prefix"},
		{"an empty prefix beside /", platform, func(d *table.Document) {
			d.Routes[0].PathPrefix, d.Routes[0].Host, d.Routes[0].Method = "", "h", "GET"
			d.Routes[1].PathPrefix = "/"
		}, lint.ShadowedRoute, "routes, row 1, column path_prefix"},
		{"an empty prefix beside / for another method", platform, func(d *table.Document) {
			d.Routes[0].PathPrefix = ""
			d.Routes[1].PathPrefix, d.Routes[1].Method = "/", "GET"
		}, "", ""},
		{"the same prefix for another method", both, func(d *table.Document) {
			d.Routes[1].PathPrefix, d.Routes[1].Method = d.Routes[0].PathPrefix, "GET"
		}, "", ""},
		{"a prefix without a slash", platform, func(d *table.Document) { d.Routes[1].PathPrefix = "y" }, lint.UnmatchableRoute, "routes, row 2, column path_prefix"},
		{"a host with a port", platform, func(d *table.Document) { d.Routes[1].Host = "h:80" }, lint.UnmatchableRoute, "routes, row 2, column host"},
		{"an unknown service", platform, func(d *table.Document) {
			d.Routes = append(d.Routes, table.Route{PathPrefix: "/z", Service: "z", TargetMS: 1})
		}, lint.UnknownService, "routes, row 3, column service"},
		{"an unknown service in a split", platform, func(d *table.Document) { d.Routes[1].Split = "y=1 z=1" }, lint.UnknownService, "routes, row 2, column split"},
		{"an unused service", both, func(d *table.Document) { d.Routes = d.Routes[:1] }, lint.UnusedService, "services, row 2, column name"},
		{"a service used by a split only", platform, func(d *table.Document) {
			d.Routes = d.Routes[:1]
			d.Routes[0].Split = "x=9 y=1"
		}, "", ""},
		{"a service twice", platform, func(d *table.Document) { d.Services = append(d.Services, d.Services[0]) }, lint.RepeatedService, "services, row 3, column name"},
		{"a share alone", platform, func(d *table.Document) { d.Routes[0].Split = "x=3" }, lint.SingleShare, "routes, row 1, column split"},
		{"a service twice in a split", platform, func(d *table.Document) { d.Routes[0].Split = "x=3 y=1 x=1" }, lint.RepeatedShare, "routes, row 1, column split"},
		{"an unreadable split", platform, func(d *table.Document) { d.Routes[0].Split = "a b=3" }, lint.UnreadableSplit, "routes, row 1, column split"},
		{"a split in the own fleet", own, func(d *table.Document) { d.Routes[0].Split = "x=3 y=1" }, lint.IgnoredSplit, "routes, row 1, column split"},
		{"a timeout below the target", both, func(d *table.Document) { d.Routes[0].DeadlineMS = 299 }, lint.ShortTimeout, "routes, row 1, column deadline_ms"},
		{"a timeout of the target", both, func(d *table.Document) { d.Routes[0].DeadlineMS = 300 }, "", ""},
		{"the timeout of the service below the target", both, func(d *table.Document) { d.Routes[0].TargetMS = 2001 }, lint.ShortTimeout, "routes, row 1, column deadline_ms"},
		{"no target", platform, func(d *table.Document) { d.Routes[0].TargetMS = 0 }, lint.NoTarget, "routes, row 1, column target_ms"},
		{"the target of the service", own, func(d *table.Document) { d.Routes[0].TargetMS = 0 }, "", ""},
		{"a negative timeout", platform, func(d *table.Document) { d.Routes[0].DeadlineMS = -1 }, lint.NegativeValue, "routes, row 1, column deadline_ms"},
		{"a negative target", platform, func(d *table.Document) { d.Routes[0].TargetMS = -1 }, lint.NegativeValue, "routes, row 1, column target_ms"},
		{"negative attempts", platform, func(d *table.Document) { d.Routes[0].Attempts = -1 }, lint.NegativeValue, "routes, row 1, column attempts"},
		{"two attempts with one server", own, func(d *table.Document) { d.Routes[0].Attempts = 2 }, lint.TooManyAttempts, "routes, row 1, column attempts"},
		{"more attempts than are made", own, func(d *table.Document) {
			for i := range 3 {
				server := d.Servers[0]
				server.Name, server.Address = fmt.Sprint("more-", i), fmt.Sprintf("127.0.0.1:%d", 7100+i)
				d.Servers = append(d.Servers, server)
			}
			d.Routes[0].Attempts = 4
		}, lint.TooManyAttempts, "routes, row 1, column attempts"},
		{"two attempts", platform, func(d *table.Document) { d.Routes[0].Attempts = 2 }, "", ""},
		{"many attempts", platform, func(d *table.Document) { d.Routes[0].Attempts = 6 }, lint.TooManyAttempts, "routes, row 1, column attempts"},
		{"a short header limit", platform, func(d *table.Document) { d.Fleet.MaxHeaderBytes = 1023 }, lint.ShortHeaderLimit, "fleet, column max_header_bytes"},
		{"public without workspaces", both, func(d *table.Document) {
			d.Workspaces = nil
			d.Routes[1].Public = true
		}, lint.NeedlessPublic, "routes, row 2, column public"},
		{"public with workspaces", platform, func(d *table.Document) { d.Routes[1].Public = true }, "", ""},
		{"a warm-up rate without a time", both, func(d *table.Document) { d.Services[0].WarmUpPerSecond = 5.3 }, lint.PartialWarmUp, "services, row 1, column warm_up_per_second"},
		{"a warm-up time without a rate", both, func(d *table.Document) { d.Services[0].WarmUpMS = 3000 }, lint.PartialWarmUp, "services, row 1, column warm_up_ms"},
		{"a negative warm-up", platform, func(d *table.Document) { d.Services[0].WarmUpMS = -1 }, lint.NegativeValue, "services, row 1, column warm_up_ms"},
		{"a burst below one request", platform, func(d *table.Document) { d.Workspaces[0].Burst = 0.9 }, lint.SmallBurst, "workspaces, row 1, column burst"},
		{"a burst without a rate", platform, func(d *table.Document) { d.Workspaces[1].Burst = 3 }, lint.BurstWithoutRate, "workspaces, row 2, column burst"},
		{"a negative rate", platform, func(d *table.Document) { d.Workspaces[1].RatePerSecond = -3 }, lint.NegativeValue, "workspaces, row 2, column rate_per_second"},
		{"a workspace without a key", platform, func(d *table.Document) { d.Workspaces[1].KeyHashes = nil }, lint.NoKeys, "workspaces, row 2, column key_hashes"},
	} {
		for _, fleet := range c.fleets {
			t.Run(fmt.Sprint(c.name, " ", fleet), func(t *testing.T) {
				g := NewWithT(t)
				doc := clean(fleet)
				c.change(&doc)
				if fleet == lint.OwnFleet {
					g.Expect(table.Validate(doc)).To(Succeed())
				}
				findings := lint.Warnings(doc, fleet)
				if c.code == "" {
					g.Expect(findings).To(BeEmpty())
					return
				}
				g.Expect(findings).To(HaveLen(1))
				g.Expect(findings[0].Severity).To(Equal(lint.Warning))
				g.Expect(findings[0].Code).To(Equal(c.code))
				g.Expect(findings[0].Place.String()).To(Equal(c.place))
				g.Expect(findings[0].Instead).NotTo(BeEmpty())
			})
		}
	}
}

// TestConflictsOfWorkspaces guards against conflicts that are missed, and against messages that
// give away the key.
func TestConflictsOfWorkspaces(t *testing.T) {
	g := NewWithT(t)
	key, other := table.HashKey("shared key"), table.HashKey("other key")
	findings := lint.Conflicts([]table.Workspace{
		{Name: "a", KeyHashes: []table.KeyHash{key, key}},
		{Name: "", KeyHashes: []table.KeyHash{other}},
		{Name: "a"},
		{Name: "b", KeyHashes: []table.KeyHash{key}},
	})
	var texts []string
	for _, finding := range findings {
		texts = append(texts, fmt.Sprint(finding.Code, " ", finding.Place, " ", finding.Message))
	}
	g.Expect(texts).To(Equal([]string{
		"empty-name workspaces, row 2, column name the workspace has no name",
		`repeated-name workspaces, row 3, column name workspace "a" is already in row 1`,
		`shared-key workspaces, row 4, column key_hashes workspace "b" has a key of workspace "a" in row 1`,
	}))
}

// TestErrorsOfTheOwnFleet guards against errors without advice, and against warnings whose line
// is that of another cell.
func TestErrorsOfTheOwnFleet(t *testing.T) {
	g := NewWithT(t)
	_, findings := lint.Check([]byte(`{
"services": [
  {"name": "a", "mode": "fast"},
  {"name": "a", "weight": 0, "colour": 1, "checks_mark": 3}],
"routes": [
  {"path_prefix": "x", "service": "b", "split": "b"},
  {"path_prefix": "/y", "service": "a", "repeatable": true, "key_required": true}],
"servers": [{"service": "a", "name": "s", "address": "here", "data_centre": "d", "slots": 1, "connections": 1}]}`))
	advice := make(map[string]string)
	for _, finding := range findings {
		g.Expect(finding.Severity).To(Equal(lint.Error))
		advice[finding.Place.String()] = finding.Instead
	}
	g.Expect(advice).To(And(
		HaveLen(10),
		HaveKeyWithValue("services, row 1, line 3, column mode", "one of tail, cost"),
		HaveKeyWithValue("services, row 2, line 4, column name", ContainSubstring("no other row has")),
		HaveKeyWithValue("services, row 2, line 4, column weight", "a number from 1 to 1000"),
		HaveKeyWithValue("services, row 2, line 4, column colour", ContainSubstring("one of the columns name, mode")),
		HaveKeyWithValue("services, row 2, line 4, column checks_mark", "true or false"),
		HaveKeyWithValue("routes, row 1, line 6, column path_prefix", ContainSubstring("starts with /")),
		HaveKeyWithValue("routes, row 1, line 6, column service", ContainSubstring("services sheet")),
		HaveKeyWithValue("routes, row 1, line 6, column split", ContainSubstring("orders=90")),
		HaveKeyWithValue("routes, row 2, line 7, column key_required", ContainSubstring("false in repeatable")),
		HaveKeyWithValue("servers, row 1, line 8, column address", ContainSubstring("10.0.0.7:8080")),
	))
	_, findings = lint.Check([]byte("{\"services\": [{\"name\": \"a\"},\n{\"name\": \"b\",\n \"warm_up_ms\": 3}],\n\"routes\": [{\"path_prefix\": \"/\", \"service\": \"a\"}]}"))
	g.Expect(findings).To(HaveLen(2))
	g.Expect([]int{findings[0].Line, findings[1].Line}).To(Equal([]int{2, 3}))
}

// drawRoutes returns routes over a small alphabet, so that many of them compete. The priority
// identifies each route.
func drawRoutes(t *rapid.T, name string) []table.Route {
	routes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) table.Route {
		return table.Route{
			Host:       rapid.SampledFrom([]string{"", "h", "H", "i"}).Draw(t, "host"),
			Method:     rapid.SampledFrom([]string{"", "GET", "POST"}).Draw(t, "method"),
			PathPrefix: rapid.SampledFrom([]string{"", "/", "/a", "/a/", "/b"}).Draw(t, "prefix"),
			Service:    rapid.SampledFrom([]string{"x", "y"}).Draw(t, "service"),
		}
	}), 0, 8).Draw(t, name)
	for i := range routes {
		routes[i].Priority = i
	}
	return routes
}

// requests returns a request for each combination over the alphabet of drawRoutes.
func requests() []*http.Request {
	var all []*http.Request
	for _, host := range []string{"h", "i", "other"} {
		for _, method := range []string{"GET", "POST", "PUT"} {
			for _, path := range []string{"/", "/a", "/a/", "/a/x", "/b", "/c"} {
				all = append(all, &http.Request{Host: host, Method: method, URL: &url.URL{Path: path}})
			}
		}
	}
	return all
}

// TestShadowedRoutesAreThoseThatNeverMatch guards against a rule of shadowing that differs from
// what Snapshot.Match does.
func TestShadowedRoutesAreThoseThatNeverMatch(t *testing.T) {
	all := requests()
	rapid.Check(t, func(t *rapid.T) {
		doc := table.Document{Routes: drawRoutes(t, "routes")}
		snapshot := table.Compile(doc)
		matched := make(map[int]bool)
		for _, r := range all {
			if route, ok := snapshot.Match(r); ok {
				matched[route.Priority] = true
			}
		}
		shadowed := make(map[int]bool)
		for _, finding := range lint.Warnings(doc, lint.UsersPlatform) {
			if finding.Code == lint.ShadowedRoute {
				shadowed[finding.Row-1] = true
			}
		}
		for i := range doc.Routes {
			if matched[i] == shadowed[i] {
				t.Fatalf("route %d %+v: matched %v, reported as shadowed %v", i, doc.Routes[i], matched[i], shadowed[i])
			}
		}
	})
}

// TestRoutesAreMatchedAsInForce guards against effects that are judged by a route which
// Snapshot.Match does not choose, such as one with a host before one with a method.
func TestRoutesAreMatchedAsInForce(t *testing.T) {
	all := requests()
	rapid.Check(t, func(t *rapid.T) {
		doc := table.Document{Routes: drawRoutes(t, "routes")}
		snapshot := table.Compile(doc)
		for _, r := range all {
			want, wantOK := snapshot.Match(r)
			got, ok := lint.MatchAt(doc, r.Host, r.Method, r.URL.Path)
			if ok != wantOK || got != want {
				t.Fatalf("%s %s %s: matched %+v, want %+v", r.Host, r.Method, r.URL.Path, got, want)
			}
		}
	})
}

// TestEffectsAreThoseOnRequests guards against changes of a request's service that aren't
// listed, and against listed ones that no request meets.
func TestEffectsAreThoseOnRequests(t *testing.T) {
	all := requests()
	rapid.Check(t, func(t *rapid.T) {
		services := clean(lint.UsersPlatform).Services
		before := table.Document{Services: services, Routes: drawRoutes(t, "before")}
		after := table.Document{Services: services, Routes: drawRoutes(t, "after")}
		for _, routes := range [][]table.Route{before.Routes, after.Routes} {
			for i := range routes {
				routes[i].Priority = 0
			}
		}
		old, next := table.Compile(before), table.Compile(after)
		differs := false
		for _, r := range all {
			a, okA := old.Match(r)
			b, okB := next.Match(r)
			differs = differs || okA != okB || a.Service != b.Service
		}
		listed := false
		for _, effect := range lint.Compare(before, after, lint.UsersPlatform) {
			listed = listed || len(effect.Details) > 0
		}
		if differs != listed {
			t.Fatalf("some request is treated differently: %v, listed: %v", differs, listed)
		}
	})
}

// TestEffects guards against differences that are described by rows instead of by what happens
// to requests, and against keys in the description.
func TestEffects(t *testing.T) {
	priority := 2
	for _, c := range []struct {
		name   string
		change func(before, after *table.Document)
		want   []string
	}{
		{"none", func(_, _ *table.Document) {}, nil},
		{"order of routes", func(_, a *table.Document) { a.Routes[0], a.Routes[1] = a.Routes[1], a.Routes[0] }, nil},
		{"service", func(_, a *table.Document) { a.Routes[0].Service = "y" }, []string{"~ route any host /x/: service x -> y"}},
		{"split", func(_, a *table.Document) { a.Routes[0].Split = "x=9 y=1" }, []string{"~ route any host /x/: service x -> x 90% + y 10%"}},
		{"the same split with other weights", func(b, a *table.Document) { b.Routes[0].Split, a.Routes[0].Split = "x=9 y=1", "y=10 x=90" }, nil},
		{"limits", func(_, a *table.Document) {
			r := &a.Routes[0]
			r.DeadlineMS, r.TargetMS, r.Attempts, r.Priority, r.Repeatable, r.Public, r.KeyRequired = 1000, 200, 3, 4, true, true, true
		}, []string{"~ route any host /x/: timeout 2s -> 1s, target 300ms -> 200ms, attempts default -> 3, priority 0 -> 4, repeatable false -> true, workspace key needed true -> false, idempotency key needed false -> true"}},
		{"default written out", func(_, a *table.Document) { a.Routes[0].DeadlineMS = 2000 }, nil},
		{"new route", func(_, a *table.Document) {
			a.Routes = append(a.Routes, table.Route{Host: "h", Method: "GET", PathPrefix: "/x/1", Service: "y", TargetMS: 300})
		}, []string{"+ route h GET /x/1: service x -> y"}},
		{"new route without effect", func(_, a *table.Document) {
			a.Routes = append(a.Routes, table.Route{PathPrefix: "/x/1", Service: "x", TargetMS: 300})
		}, []string{"+ route any host /x/1: requests are treated as without it"}},
		{"removed route", func(_, a *table.Document) { a.Routes = a.Routes[:1] }, []string{"- route any host /y/: service y -> none (404)"}},
		{"a longer prefix takes requests of a host with its own route", func(b, a *table.Document) {
			own := table.Route{Host: "h", PathPrefix: "/", Service: "y", TargetMS: 300}
			b.Routes, a.Routes = append(b.Routes, own), append(a.Routes, own, table.Route{PathPrefix: "/z", Service: "x", TargetMS: 300})
		}, []string{"+ route any host /z: service none (404) -> x", "~ route h /z: service y -> x"}},
		{"services", func(_, a *table.Document) {
			a.Services[0].Connections = 260
			a.Services = append(a.Services, table.Service{Name: "z"})
		}, []string{"~ service x: connections 0 -> 260", "+ service z"}},
		{"removed service", func(_, a *table.Document) { a.Services = a.Services[:1] },
			[]string{"- service y", "~ route any host /y/: service y -> none (404)"}},
		{"fleet", func(_, a *table.Document) { a.Fleet.IdleTimeoutMS = 15000 }, []string{"~ fleet: idle_timeout_ms 0 -> 15000"}},
		{"keys", func(_, a *table.Document) {
			a.Workspaces[0].KeyHashes = []table.KeyHash{table.HashKey("new 1"), table.HashKey("new 2")}
		}, []string{"~ workspace w: keys added 2, keys removed 1"}},
		{"cap raised", func(_, a *table.Document) { a.Workspaces[0].RatePerSecond = 6 }, []string{"~ workspace w: cap raised 5/s burst 10 -> 6/s burst 10"}},
		{"cap lowered", func(_, a *table.Document) { a.Workspaces[0].Burst = 9 }, []string{"~ workspace w: cap lowered 5/s burst 10 -> 5/s burst 9"}},
		{"cap changed", func(_, a *table.Document) { a.Workspaces[0].RatePerSecond, a.Workspaces[0].Burst = 6, 9 }, []string{"~ workspace w: cap changed 5/s burst 10 -> 6/s burst 9"}},
		{"cap removed", func(_, a *table.Document) { a.Workspaces[0].RatePerSecond = 0 }, []string{"~ workspace w: cap removed 5/s burst 10 -> none"}},
		{"cap set", func(_, a *table.Document) { a.Workspaces[1].RatePerSecond, a.Workspaces[1].Burst = 1, 2 }, []string{"~ workspace v: cap set none -> 1/s burst 2"}},
		{"priority", func(_, a *table.Document) { a.Workspaces[1].Priority = &priority }, []string{"~ workspace v: priority of the route -> 2"}},
		{"workspaces", func(_, a *table.Document) { a.Workspaces[1].Name = "u" }, []string{"+ workspace u: keys 1, cap none", "- workspace v: keys 1"}},
		{"a workspace and a service listed twice", func(b, a *table.Document) {
			for _, doc := range []*table.Document{b, a} {
				doc.Workspaces = append(doc.Workspaces, table.Workspace{Name: "w", KeyHashes: []table.KeyHash{table.HashKey("more")}})
				doc.Services = append(doc.Services, table.Service{Name: "x", DeadlineMS: 2000})
			}
		}, nil},
		{"all workspaces removed", func(_, a *table.Document) { a.Workspaces = nil }, []string{
			"~ route any host /x/: workspace key needed true -> false", "~ route any host /y/: workspace key needed true -> false",
			"- workspace w: keys 1", "- workspace v: keys 1",
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			before, after := clean(lint.UsersPlatform), clean(lint.UsersPlatform)
			c.change(&before, &after)
			effects := lint.Compare(before, after, lint.UsersPlatform)
			var texts []string
			for _, effect := range effects {
				texts = append(texts, effect.String())
			}
			g.Expect(texts).To(Equal(c.want))
			encoded, err := json.Marshal(effects)
			g.Expect(err).NotTo(HaveOccurred())
			for _, w := range append(before.Workspaces, after.Workspaces...) {
				for _, hash := range w.KeyHashes {
					text, _ := hash.MarshalText()
					g.Expect(string(encoded)).NotTo(ContainSubstring(string(text)))
				}
			}
		})
	}
}

// FuzzCheck guards against a check that disagrees with the function that accepts tables.
func FuzzCheck(f *testing.F) {
	doc, err := table.Encode(clean(lint.OwnFleet))
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{
		"{}", "", "[", `{"services":[{"name":"a","warm_up_ms":3}],"routes":[{"path_prefix":"/","service":"a","split":"a=1 a=2"}]}`,
		`{"services":[{"name":"a"},{"name":"a"}]}`, `{"workspaces":[{"name":"w","key_hashes":["x"]}]}`, string(doc),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := table.Parse(data)
		doc, findings := lint.Check(data)
		if rejected, _ := lint.Count(findings); (rejected > 0) != (err != nil) {
			t.Fatalf("%d errors, but accepting the table returns %v", rejected, err)
		}
		if effects := lint.Compare(doc, doc, lint.OwnFleet); len(effects) > 0 {
			t.Fatalf("a table differs from itself: %v", effects)
		}
	})
}
