package table

import (
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Snapshot is an immutable accepted document with indexes for lookups.
type Snapshot struct {
	doc      Document
	services map[string]*Service
	servers  map[string][]Server
	byName   map[string]Server
	// routes holds the routes by host, most specific first; the key "" holds
	// those that match any host.
	routes map[string][]Route
	// splits holds the parsed Split columns, keyed by their text.
	splits map[string][]Share
	// workspaces holds the workspaces by the hashes of their keys.
	workspaces map[KeyHash]*Workspace
	// meanRate is the mean cap of the workspaces that have one; 0 if none has.
	meanRate float64
}

// Compile builds a snapshot from a valid document.
func Compile(doc Document) *Snapshot {
	s := &Snapshot{
		doc:      doc,
		services: make(map[string]*Service, len(doc.Services)),
		servers:  make(map[string][]Server, len(doc.Services)),
		byName:   make(map[string]Server, len(doc.Servers)),
		routes:   make(map[string][]Route),
		splits:   make(map[string][]Share),

		workspaces: make(map[KeyHash]*Workspace),
	}
	for i := range doc.Workspaces {
		for _, hash := range doc.Workspaces[i].KeyHashes {
			s.workspaces[hash] = &doc.Workspaces[i]
		}
	}
	s.meanRate = meanRate(doc.Workspaces)
	for i := range doc.Services {
		s.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for _, server := range doc.Servers {
		s.servers[server.Service] = append(s.servers[server.Service], server)
		s.byName[server.Name] = server
	}
	s.compileRoutes(doc.Routes)
	return s
}

func (s *Snapshot) compileRoutes(routes []Route) {
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		s.routes[host] = append(s.routes[host], route)
		if route.Split == "" {
			continue
		}
		if shares, err := parseSplit(route.Split); err == nil {
			s.splits[route.Split] = shares
		}
	}
	for _, group := range s.routes {
		sort.SliceStable(group, func(i, j int) bool { return moreSpecific(group[i], group[j]) })
	}
}

func moreSpecific(a, b Route) bool {
	if len(a.PathPrefix) != len(b.PathPrefix) {
		return len(a.PathPrefix) > len(b.PathPrefix)
	}
	if (a.Method == "") != (b.Method == "") {
		return a.Method != ""
	}
	return a.Host != "" && b.Host == ""
}

// Version returns the accepted version.
func (s *Snapshot) Version() uint64 { return s.doc.Version }

// Document returns the underlying document, which must not be modified.
func (s *Snapshot) Document() Document { return s.doc }

// Fleet returns the limits that apply across all services.
func (s *Snapshot) Fleet() Fleet { return s.doc.Fleet }

// Service returns the service with the given name, or nil. The result must not
// be modified.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// NeedsKeys reports whether requests need the key of a workspace, except on public routes.
func (s *Snapshot) NeedsKeys() bool { return s.doc.NeedsKeys() }

// Workspace returns the workspace of the key with the given hash, or nil. The result must not
// be modified.
func (s *Snapshot) Workspace(key KeyHash) *Workspace { return s.workspaces[key] }

// Weight returns the weight of the workspace when capacity is short: its cap relative to the
// mean cap. A workspace without a cap, and the requests without a workspace (nil), have the
// mean weight of 1. It is 0 if requests need no key.
func (s *Snapshot) Weight(w *Workspace) float64 {
	switch {
	case !s.NeedsKeys():
		return 0
	case w == nil || w.RatePerSecond <= 0 || s.meanRate <= 0:
		return 1
	default:
		return w.RatePerSecond / s.meanRate
	}
}

func meanRate(workspaces []Workspace) float64 {
	sum, capped := 0.0, 0
	for i := range workspaces {
		if rate := workspaces[i].RatePerSecond; rate > 0 {
			sum += rate
			capped++
		}
	}
	if capped == 0 {
		return 0
	}
	return sum / float64(capped)
}

// Servers returns the backend servers of a service. The result must not be
// modified.
func (s *Snapshot) Servers(service string) []Server { return s.servers[service] }

// Server returns the backend server with the given name.
func (s *Snapshot) Server(name string) (Server, bool) {
	server, ok := s.byName[name]
	return server, ok
}

// Match returns the most specific route that matches a request.
func (s *Snapshot) Match(r *http.Request) (Route, bool) {
	hostRoute, hostOK := firstMatch(s.routes[strings.ToLower(hostOnly(r.Host))], r)
	anyHostRoute, anyHostOK := firstMatch(s.routes[""], r)
	if hostOK && (!anyHostOK || moreSpecific(hostRoute, anyHostRoute)) {
		return hostRoute, true
	}
	return anyHostRoute, anyHostOK
}

// firstMatch returns the first route whose method and path prefix match.
func firstMatch(routes []Route, r *http.Request) (Route, bool) {
	for _, route := range routes {
		if route.Method != "" && route.Method != r.Method {
			continue
		}
		if strings.HasPrefix(r.URL.Path, route.PathPrefix) {
			return route, true
		}
	}
	return Route{}, false
}

func hostOnly(hostport string) string {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		return hostport
	}
	return host
}

// Deadline returns the maximum duration of a request on the route.
func (s *Snapshot) Deadline(route Route) time.Duration {
	ms := route.DeadlineMS
	if service := s.services[route.Service]; ms == 0 && service != nil {
		ms = service.DeadlineMS
	}
	return time.Duration(ms) * time.Millisecond
}

// Current holds the active snapshot. Its version never decreases. It is safe for
// concurrent use.
type Current struct {
	mu       sync.RWMutex
	snapshot *Snapshot
	changed  chan struct{}
}

// NewCurrent returns a Current without an active snapshot.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{})}
}

// Load returns the active snapshot, or nil before the first Swap.
func (c *Current) Load() *Snapshot {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.snapshot
}

// Swap activates next if its version is higher than the active one. It reports
// whether it did.
func (c *Current) Swap(next *Snapshot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && next.Version() <= c.snapshot.Version() {
		return false
	}
	c.snapshot = next
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the active snapshot changes next.
func (c *Current) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}
