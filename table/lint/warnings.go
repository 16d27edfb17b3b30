package lint

import (
	"fmt"
	"net"
	"strings"

	"github.com/pomelolock/pomelolock/table"
)

// Fleet tells by which rules a table is served.
type Fleet int

// Fleets that a table may be for.
const (
	// OwnFleet is served by pomelolockd with settings of its own. Its tables list servers.
	OwnFleet Fleet = iota
	// UsersPlatform is served through package platform. Servers are discovered.
	UsersPlatform
)

const (
	// minHeaderBytes is the smallest header limit that the settings of an instance allow.
	// Below it, the request line and the headers that the product reads may not fit.
	minHeaderBytes = 1024
	// maxOwnAttempts is the number of servers that package proxy sends a request to at most.
	maxOwnAttempts = 3
	// maxUsefulAttempts bounds the attempts on the users' platform. Each one above the first
	// draws on the retry budget of the service, and forward tries four unreachable servers
	// in addition.
	maxUsefulAttempts = 5
)

const (
	listWorkspaces = "workspaces"
	anyValue       = "any"
)

type linter struct {
	doc      table.Document
	fleet    Fleet
	services map[string]*table.Service
	servers  map[string]int
	findings []Finding
}

// Warnings returns the entries of a table that have no effect or contradict each other. The
// places have the names of package table.
//
// It doesn't judge whether the caps of all workspaces exceed the capacity, since a table of
// the users' platform doesn't list the servers, nor whether a route hides a health path:
// status checks go to the servers directly and match no route.
func Warnings(doc table.Document, fleet Fleet) []Finding {
	l := &linter{
		doc: doc, fleet: fleet,
		services: make(map[string]*table.Service, len(doc.Services)), servers: make(map[string]int),
	}
	for i := range doc.Services {
		l.services[doc.Services[i].Name] = &doc.Services[i]
	}
	for _, server := range doc.Servers {
		l.servers[server.Service]++
	}
	l.checkFleet()
	l.checkServices()
	l.checkRoutes()
	l.checkWorkspaces()
	return l.findings
}

func (l *linter) warn(code Code, place Place, instead, format string, args ...any) {
	l.findings = append(l.findings, Finding{
		Severity: Warning, Code: code, Place: place, Message: fmt.Sprintf(format, args...), Instead: instead,
	})
}

func (l *linter) checkFleet() {
	// The limit of the table is in force on the users' platform only.
	limit := l.doc.Fleet.MaxHeaderBytes
	if l.fleet == UsersPlatform && limit != 0 && limit < minHeaderBytes {
		l.warn(ShortHeaderLimit, Place{List: string(table.SheetFleet), Column: "max_header_bytes"},
			fmt.Sprintf("%d or more, or 0 for the default", minHeaderBytes),
			"a limit of %d bytes leaves no room for the request line and the headers that every request has", limit)
	}
}

func (l *linter) checkServices() {
	used := l.usedServices()
	seen := make(map[string]int, len(l.doc.Services))
	for i, service := range l.doc.Services {
		place := func(column string) Place {
			return Place{List: string(table.SheetServices), Row: i + 1, Column: column}
		}
		if first, ok := seen[service.Name]; ok {
			l.warn(RepeatedService, place("name"), "one entry for each service",
				"service %q is already in row %d", service.Name, first)
			continue
		}
		seen[service.Name] = i + 1
		if !used[service.Name] {
			l.warn(UnusedService, place("name"), "a route to the service, or remove it",
				"no route sends requests to service %q", service.Name)
		}
		switch {
		case service.WarmUpMS < 0 || service.WarmUpPerSecond < 0:
			l.warn(NegativeValue, place("warm_up_ms"), "a time and a rate above 0, or neither",
				"service %q has a negative warm-up time or rate", service.Name)
		case service.WarmUpMS == 0 && service.WarmUpPerSecond > 0:
			l.warn(PartialWarmUp, place("warm_up_per_second"), "the warm-up time as well, or remove the rate",
				"service %q has a warm-up rate without a warm-up time", service.Name)
		case service.WarmUpMS > 0 && service.WarmUpPerSecond == 0:
			l.warn(PartialWarmUp, place("warm_up_ms"), "the warm-up rate as well, or remove the time",
				"service %q has a warm-up time without a warm-up rate, so its cold servers are not limited", service.Name)
		}
	}
}

func (l *linter) usedServices() map[string]bool {
	used := make(map[string]bool)
	for _, route := range l.doc.Routes {
		for _, name := range destinations(route) {
			used[name] = true
		}
		if l.fleet == OwnFleet {
			used[route.Service] = true
		}
	}
	return used
}

// destinations returns the services that a route sends requests to.
func destinations(route table.Route) []string {
	shares := route.Shares()
	if len(shares) == 0 {
		return []string{route.Service}
	}
	names := make([]string, len(shares))
	for i, share := range shares {
		names[i] = share.Service
	}
	return names
}

// routeKey identifies the requests that a route is for. Of routes with the same key, the first
// matches all of them. Routes with different keys don't shadow each other: the longer prefix
// leaves requests to the shorter one, a method leaves the other methods, and a host the others.
// The exception is an empty prefix below the prefix "/", which all paths have.
type routeKey struct{ host, method, prefix string }

func keyOf(route table.Route) routeKey {
	return routeKey{strings.ToLower(route.Host), route.Method, route.PathPrefix}
}

func (k routeKey) String() string {
	parts := []string{k.host, k.method, k.prefix}
	if k.host == "" {
		parts[0] = anyValue + " host"
	}
	if k.method == "" {
		parts = []string{parts[0], k.prefix}
	}
	return strings.Join(parts, " ")
}

func (l *linter) checkRoutes() {
	seen := make(map[routeKey]int, len(l.doc.Routes))
	rooted := rootRoutes(l.doc.Routes)
	for i, route := range l.doc.Routes {
		r := &routeLinter{linter: l, row: i + 1, route: route, name: keyOf(route).String()}
		if first, ok := seen[keyOf(route)]; ok {
			r.warn(ShadowedRoute, "path_prefix", "another host, method or prefix, or remove the route",
				"never matches: row %d has the same host, method and prefix and comes first", first)
		} else {
			seen[keyOf(route)] = i + 1
		}
		if row := rooted.hides(keyOf(route)); row > 0 {
			r.warn(ShadowedRoute, "path_prefix", "another prefix, or remove the route",
				"never matches: row %d has the prefix / and matches all its requests", row)
		}
		r.checkMatch()
		r.checkSplit()
		r.checkTimes()
		r.checkAttempts()
		if route.Public && !l.doc.NeedsKeys() {
			r.warn(NeedlessPublic, "public", "remove it, or list the workspaces",
				"public has no effect in a table without workspaces: no request needs a key")
		}
	}
}

// rootedRoutes holds the rows of the routes with the prefix "/", as far as they may hide routes
// with an empty prefix.
type rootedRoutes map[routeKey]int

func rootRoutes(routes []table.Route) rootedRoutes {
	rows := make(rootedRoutes)
	for i, route := range routes {
		if route.PathPrefix == "/" {
			rows[keyOf(route)] = i + 1
		}
	}
	return rows
}

// hides returns the row of a route that matches all requests of a route with an empty prefix,
// or 0.
func (r rootedRoutes) hides(key routeKey) int {
	if key.prefix != "" {
		return 0
	}
	for _, host := range []string{key.host, ""} {
		for _, method := range []string{key.method, ""} {
			if row := r[routeKey{host, method, "/"}]; row > 0 {
				return row
			}
		}
	}
	return 0
}

type routeLinter struct {
	*linter
	row   int
	route table.Route
	name  string
}

func (r *routeLinter) warn(code Code, column, instead, format string, args ...any) {
	place := Place{List: string(table.SheetRoutes), Row: r.row, Column: column}
	r.linter.warn(code, place, instead, "route %q: %s", r.name, fmt.Sprintf(format, args...))
}

func (r *routeLinter) checkMatch() {
	prefix := r.route.PathPrefix
	if prefix != "" && !strings.HasPrefix(prefix, "/") {
		r.warn(UnmatchableRoute, "path_prefix", fmt.Sprintf("%q", "/"+prefix), "never matches: paths start with /")
	}
	if host, _, err := net.SplitHostPort(r.route.Host); err == nil {
		r.warn(UnmatchableRoute, "host", fmt.Sprintf("%q", host), "never matches: hosts are compared without their port")
	}
	for _, name := range destinations(r.route) {
		if r.services[name] == nil {
			column := "service"
			if r.route.Split != "" {
				column = "split"
			}
			r.warn(UnknownService, column, "the name of a service of the table, or add that service",
				"no service is called %q, so these requests get 404", name)
		}
	}
}

func (r *routeLinter) checkSplit() {
	if r.route.Split == "" {
		return
	}
	shares := r.route.Shares()
	if len(shares) == 0 {
		r.warn(UnreadableSplit, "split", "names of services without spaces and '='",
			"the split can't be read, so all requests go to service %q", r.route.Service)
		return
	}
	seen := make(map[string]bool, len(shares))
	for _, share := range shares {
		if seen[share.Service] {
			r.warn(RepeatedShare, "split", "one share with the sum of the weights",
				"the split lists service %q twice", share.Service)
		}
		seen[share.Service] = true
	}
	if len(shares) == 1 {
		r.warn(SingleShare, "split", "the service without a split, or a second share",
			"service %q is alone in its split and gets all requests, whatever its weight", shares[0].Service)
	}
	if r.fleet == OwnFleet {
		r.warn(IgnoredSplit, "split", "one service",
			"splits are served on the users' platform only: all requests go to service %q", r.route.Service)
	}
}

func (r *routeLinter) checkTimes() {
	service := r.services[r.route.Service]
	if r.route.DeadlineMS < 0 {
		r.warn(NegativeValue, "deadline_ms", "a time above 0", "the timeout is negative")
	}
	if r.route.TargetMS < 0 {
		r.warn(NegativeValue, "target_ms", "a time above 0", "the target is negative")
	}
	if service == nil {
		return
	}
	target := r.route.TargetMS
	if target == 0 {
		target = service.ObjectiveLatencyMS
		if r.fleet == UsersPlatform {
			r.warn(NoTarget, "target_ms", "the time within which a response has its full value",
				"the target is 0 or missing, so %d ms is assumed", target)
		}
	}
	timeout := r.route.DeadlineMS
	if timeout == 0 {
		timeout = service.DeadlineMS
	}
	if timeout > 0 && timeout < target {
		r.warn(ShortTimeout, "deadline_ms", "a timeout of the target or more, or a lower target",
			"the timeout of %d ms is below the target of %d ms", timeout, target)
	}
}

func (r *routeLinter) checkAttempts() {
	attempts := r.route.Attempts
	if attempts < 0 {
		r.warn(NegativeValue, "attempts", "1 or more", "the number of attempts is negative, so the default applies")
	}
	if r.fleet == UsersPlatform {
		if attempts > maxUsefulAttempts {
			r.warn(TooManyAttempts, "attempts", fmt.Sprintf("%d or less", maxUsefulAttempts),
				"%d attempts use up the retry budget of the service", attempts)
		}
		return
	}
	if servers := r.servers[r.route.Service]; servers > 0 && attempts > servers {
		r.warn(TooManyAttempts, "attempts", fmt.Sprintf("%d or less, or add servers", servers),
			"%d attempts, but service %q has only %d server(s)", attempts, r.route.Service, servers)
		return
	}
	if attempts > maxOwnAttempts {
		r.warn(TooManyAttempts, "attempts", fmt.Sprintf("%d or less", maxOwnAttempts),
			"a request is sent to at most %d servers", maxOwnAttempts)
	}
}

func (l *linter) checkWorkspaces() {
	if l.doc.NeedsKeys() && len(l.doc.Workspaces) == 0 {
		l.warn(NoWorkspaces, Place{List: listWorkspaces}, "at least one workspace, or leave the list out if requests need no key",
			"no workspace is listed, so that all requests are rejected except those on public routes")
	}
	for i, w := range l.doc.Workspaces {
		place := func(column string) Place {
			return Place{List: listWorkspaces, Row: i + 1, Column: column}
		}
		if len(w.KeyHashes) == 0 {
			l.warn(NoKeys, place("key_hashes"), "at least one key, or remove the workspace",
				"workspace %q has no key, so no caller can use it", w.Name)
		}
		switch {
		case w.RatePerSecond < 0 || w.Burst < 0:
			l.warn(NegativeValue, place("rate_per_second"), "a rate and a burst above 0, or neither",
				"workspace %q has a negative rate or burst", w.Name)
		case w.RatePerSecond > 0 && w.Burst < 1:
			l.warn(SmallBurst, place("burst"), "1 or more",
				"workspace %q has a burst of %v, less than one request", w.Name, w.Burst)
		case w.RatePerSecond == 0 && w.Burst > 0:
			l.warn(BurstWithoutRate, place("burst"), "a rate as well, or remove the burst",
				"workspace %q has a burst without a rate, so it has no cap", w.Name)
		}
	}
}

// Conflicts returns the workspaces without a name and those that have a name or a key in common
// with an earlier one, as warnings. The messages hold no keys.
func Conflicts(workspaces []table.Workspace) []Finding {
	l := &linter{}
	names, keys := make(map[string]int, len(workspaces)), make(map[table.KeyHash]int)
	for i, w := range workspaces {
		row := i + 1
		if w.Name == "" {
			l.warn(NamelessEntry, Place{List: listWorkspaces, Row: row, Column: "name"}, "the name of the workspace",
				"the workspace has no name")
		} else if first, ok := names[w.Name]; ok {
			l.warn(RepeatedName, Place{List: listWorkspaces, Row: row, Column: "name"}, "one entry for each workspace",
				"workspace %q is already in row %d", w.Name, first)
		} else {
			names[w.Name] = row
		}
		shared := make(map[int]bool)
		for _, hash := range w.KeyHashes {
			first, ok := keys[hash]
			if !ok {
				keys[hash] = row
			} else if first != row && !shared[first] {
				shared[first] = true
				l.warn(SharedKey, Place{List: listWorkspaces, Row: row, Column: "key_hashes"},
					"each key in one workspace only",
					"workspace %q has a key of workspace %q in row %d", w.Name, workspaces[first-1].Name, first)
			}
		}
	}
	return l.findings
}

// path returns the place in the form of [strictjson.Result.Line].
func (p Place) path() string {
	path := p.List
	if p.Row > 0 {
		path += fmt.Sprintf("[%d]", p.Row-1)
	}
	if p.Column != "" {
		path += "." + p.Column
	}
	return path
}
