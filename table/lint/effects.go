package lint

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomelolock/pomelolock/table"
)

// EffectKind is the type of an [Effect].
type EffectKind string

// Types of effects.
const (
	Added   EffectKind = "added"
	Removed EffectKind = "removed"
	Changed EffectKind = "changed"
)

// Effect is one difference between two tables for the requests that they serve.
type Effect struct {
	Kind EffectKind `json:"kind"`
	// What is the type of the subject: fleet, service, route, server or workspace.
	What string `json:"what"`
	// Subject is a name, or the host, method and prefix of the requests of a route.
	Subject string `json:"subject,omitempty"`
	// Details lists what differs. For an added or removed route, it compares with the route
	// that serves the requests without it; empty means that no request is treated
	// differently.
	Details []Detail `json:"details,omitempty"`
}

// Detail is one property that differs.
type Detail struct {
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// String returns the detail as text.
func (d Detail) String() string {
	switch {
	case d.Old == "":
		return d.Name + " " + d.New
	case d.New == "":
		return d.Name + " " + d.Old
	default:
		return d.Name + " " + d.Old + " -> " + d.New
	}
}

// String returns the effect in one line.
func (e Effect) String() string {
	sign := map[EffectKind]string{Added: "+ ", Removed: "- ", Changed: "~ "}[e.Kind]
	text := sign + e.What
	if e.Subject != "" {
		text += " " + e.Subject
	}
	var details []string
	for _, detail := range e.Details {
		details = append(details, detail.String())
	}
	if len(details) == 0 && e.What == whatRoute {
		details = []string{"requests are treated as without it"}
	}
	if len(details) > 0 {
		text += ": " + strings.Join(details, ", ")
	}
	return text
}

const (
	whatRoute     = "route"
	whatWorkspace = "workspace"
	// noRoute is the destination of requests that no route matches or whose service the table
	// doesn't list.
	noRoute = "none (404)"
)

// sheetWhat names the rows of the sheets whose changes [table.Diff] lists.
var sheetWhat = map[table.Sheet]string{
	table.SheetFleet: "fleet", table.SheetServices: "service", table.SheetServers: "server",
}

// Compare returns what a table changes for requests, compared with the table before.
func Compare(before, after table.Document, fleet Fleet) []Effect {
	effects := rowEffects(before, after)
	effects = append(effects, routeEffects(before, after, fleet)...)
	return append(effects, workspaceEffects(before.Workspaces, after.Workspaces)...)
}

// rowEffects returns the changes of the sheets other than routes, one effect for each row.
func rowEffects(before, after table.Document) []Effect {
	before.Services, after.Services = inForce(before.Services), inForce(after.Services)
	var effects []Effect
	kinds := map[table.ChangeKind]EffectKind{table.RowAdded: Added, table.RowRemoved: Removed, table.CellSet: Changed}
	for _, change := range table.Diff(before, after) {
		what, ok := sheetWhat[change.Sheet]
		if !ok {
			continue
		}
		effect := Effect{Kind: kinds[change.Kind], What: what, Subject: change.Row}
		if n := len(effects); n > 0 && change.Kind == table.CellSet && effects[n-1].Kind == Changed &&
			effects[n-1].What == what && effects[n-1].Subject == change.Row {
			effect, effects = effects[n-1], effects[:n-1]
		}
		if change.Kind == table.CellSet {
			effect.Details = append(effect.Details, Detail{Name: change.Column, Old: quoteEmpty(change.Old), New: quoteEmpty(change.New)})
		}
		effects = append(effects, effect)
	}
	return effects
}

// inForce returns the services without those that a later one of the same name replaces.
func inForce(services []table.Service) []table.Service {
	last := make(map[string]int, len(services))
	for i, service := range services {
		last[service.Name] = i
	}
	var kept []table.Service
	for i, service := range services {
		if last[service.Name] == i {
			kept = append(kept, service)
		}
	}
	return kept
}

func quoteEmpty(text string) string {
	if text == "" {
		return `""`
	}
	return text
}

// treatment is what happens to a request.
type treatment struct {
	// prefix is that of the route.
	prefix      string
	destination string
	timeout     time.Duration
	target      time.Duration
	attempts    int
	priority    int
	repeatable  bool
	needsKey    bool
	keyRequired bool
}

// router finds the treatment of the requests of a table, by the rules of
// [table.Snapshot.Match].
type router struct {
	doc      table.Document
	fleet    Fleet
	routes   map[routeKey]table.Route
	services map[string]table.Service
}

func newRouter(doc table.Document, fleet Fleet) *router {
	r := &router{doc: doc, fleet: fleet, routes: make(map[routeKey]table.Route), services: make(map[string]table.Service)}
	for _, route := range doc.Routes {
		if _, ok := r.routes[keyOf(route)]; !ok {
			r.routes[keyOf(route)] = route
		}
	}
	for _, service := range doc.Services {
		r.services[service.Name] = service
	}
	return r
}

// match returns the route for requests with the given host and method whose path is the prefix
// itself. An empty host or method stands for one that no route names.
func (r *router) match(key routeKey) (table.Route, bool) {
	path := key.prefix
	if path == "" {
		path = "/"
	}
	for n := len(path); n >= 0; n-- {
		for _, k := range []routeKey{
			{key.host, key.method, path[:n]}, {"", key.method, path[:n]},
			{key.host, "", path[:n]}, {"", "", path[:n]},
		} {
			if route, ok := r.routes[k]; ok {
				return route, true
			}
		}
	}
	return table.Route{}, false
}

func (r *router) treatment(key routeKey) treatment {
	route, ok := r.match(key)
	if !ok {
		return treatment{destination: noRoute}
	}
	t := treatment{
		prefix: route.PathPrefix, destination: r.destination(route), attempts: route.Attempts, priority: route.Priority,
		repeatable: route.Repeatable, keyRequired: route.KeyRequired,
		needsKey: r.doc.NeedsKeys() && !route.Public,
	}
	service := r.services[route.Service]
	t.timeout = milliseconds(cmp.Or(route.DeadlineMS, service.DeadlineMS))
	t.target = milliseconds(cmp.Or(route.TargetMS, service.ObjectiveLatencyMS))
	return t
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// destination describes the services that get the requests of a route, with their shares.
func (r *router) destination(route table.Route) string {
	shares := route.Shares()
	if len(shares) == 0 || r.fleet == OwnFleet {
		return r.listed(route.Service)
	}
	weights, total := make(map[string]int), 0
	for _, share := range shares {
		weights[share.Service] += share.Weight
		total += share.Weight
	}
	if len(weights) == 1 {
		return r.listed(shares[0].Service)
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		percent := strconv.FormatFloat(100*float64(weights[name])/float64(total), 'g', 4, 64)
		parts = append(parts, r.listed(name)+" "+percent+"%")
	}
	return strings.Join(parts, " + ")
}

func (r *router) listed(service string) string {
	if _, ok := r.services[service]; !ok {
		return noRoute
	}
	return service
}

// routeEffects compares the treatment of requests at each prefix of either table.
func routeEffects(before, after table.Document, fleet Fleet) []Effect {
	old, next := newRouter(before, fleet), newRouter(after, fleet)
	var effects []Effect
	for _, prefix := range prefixes(old, next) {
		hosts, methods := variants(prefix, old, next)
		for _, host := range hosts {
			for _, method := range methods {
				if effect, ok := compareAt(routeKey{host, method, prefix}, old, next); ok {
					effects = append(effects, effect)
				}
			}
		}
	}
	return effects
}

func prefixes(routers ...*router) []string {
	set := make(map[string]bool)
	for _, r := range routers {
		for key := range r.routes {
			// A prefix without a slash matches no request.
			if key.prefix == "" || strings.HasPrefix(key.prefix, "/") {
				set[key.prefix] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// variants returns the hosts and methods by which the treatment of requests at a prefix may
// differ: those of its routes and of routes with a shorter prefix.
func variants(prefix string, routers ...*router) (hosts, methods []string) {
	hostSet, methodSet := map[string]bool{"": true}, map[string]bool{"": true}
	for _, r := range routers {
		for key := range r.routes {
			if strings.HasPrefix(prefix, key.prefix) {
				hostSet[key.host], methodSet[key.method] = true, true
			}
		}
	}
	return slices.Sorted(maps.Keys(hostSet)), slices.Sorted(maps.Keys(methodSet))
}

// compareAt compares the treatment of the requests of a key. It returns false if it is the same,
// or if the effect at a wider key already tells of the difference.
func compareAt(key routeKey, old, next *router) (Effect, bool) {
	_, inOld := old.routes[key]
	_, inNext := next.routes[key]
	effect := Effect{Kind: Changed, What: whatRoute, Subject: key.String()}
	from, to := old.treatment(key), next.treatment(key)
	effect.Details = treatmentDetails(from, to)
	switch {
	case !inOld && inNext:
		effect.Kind = Added
		return effect, true
	case inOld && !inNext:
		effect.Kind = Removed
		return effect, true
	case len(effect.Details) == 0:
		return effect, false
	case inOld:
		return effect, true
	case from.prefix != key.prefix && to.prefix != key.prefix:
		return effect, false
	}
	for _, wider := range []routeKey{{"", key.method, key.prefix}, {key.host, "", key.prefix}, {"", "", key.prefix}} {
		if wider != key && old.treatment(wider) == from && next.treatment(wider) == to {
			return effect, false
		}
	}
	return effect, true
}

func treatmentDetails(from, to treatment) []Detail {
	var details []Detail
	add := func(name, old, next string) {
		if old != next {
			details = append(details, Detail{Name: name, Old: old, New: next})
		}
	}
	add("service", from.destination, to.destination)
	if from.destination == noRoute || to.destination == noRoute {
		return details
	}
	add("timeout", from.timeout.String(), to.timeout.String())
	add("target", from.target.String(), to.target.String())
	add("attempts", attemptsText(from.attempts), attemptsText(to.attempts))
	add("priority", strconv.Itoa(from.priority), strconv.Itoa(to.priority))
	add("repeatable", strconv.FormatBool(from.repeatable), strconv.FormatBool(to.repeatable))
	add("workspace key needed", strconv.FormatBool(from.needsKey), strconv.FormatBool(to.needsKey))
	add("idempotency key needed", strconv.FormatBool(from.keyRequired), strconv.FormatBool(to.keyRequired))
	return details
}

func attemptsText(attempts int) string {
	if attempts <= 0 {
		return "default"
	}
	return strconv.Itoa(attempts)
}

func workspaceEffects(before, after []table.Workspace) []Effect {
	before, after = distinct(before), distinct(after)
	old := make(map[string]table.Workspace, len(before))
	for _, w := range before {
		old[w.Name] = w
	}
	var effects []Effect
	remaining := make(map[string]bool, len(after))
	for _, w := range after {
		remaining[w.Name] = true
		previous, ok := old[w.Name]
		if !ok {
			effects = append(effects, Effect{Kind: Added, What: whatWorkspace, Subject: w.Name, Details: []Detail{
				{Name: "keys", New: strconv.Itoa(len(w.KeyHashes))}, {Name: "cap", New: capText(w)},
			}})
			continue
		}
		if details := workspaceDetails(previous, w); len(details) > 0 {
			effects = append(effects, Effect{Kind: Changed, What: whatWorkspace, Subject: w.Name, Details: details})
		}
	}
	for _, w := range before {
		if !remaining[w.Name] {
			effects = append(effects, Effect{Kind: Removed, What: whatWorkspace, Subject: w.Name, Details: []Detail{
				{Name: "keys", Old: strconv.Itoa(len(w.KeyHashes))},
			}})
		}
	}
	return effects
}

// distinct joins the keys of workspaces of the same name, and of a key that is listed twice
// keeps one. Everything else is that of the first workspace of the name.
func distinct(workspaces []table.Workspace) []table.Workspace {
	type entry struct {
		name string
		hash table.KeyHash
	}
	rows, seen := make(map[string]int, len(workspaces)), make(map[entry]bool)
	var joined []table.Workspace
	for _, w := range workspaces {
		row, ok := rows[w.Name]
		if !ok {
			row = len(joined)
			rows[w.Name] = row
			joined = append(joined, w)
			joined[row].KeyHashes = nil
		}
		for _, hash := range w.KeyHashes {
			if !seen[entry{w.Name, hash}] {
				seen[entry{w.Name, hash}] = true
				joined[row].KeyHashes = append(joined[row].KeyHashes, hash)
			}
		}
	}
	return joined
}

func workspaceDetails(from, to table.Workspace) []Detail {
	var details []Detail
	if n := countMissing(to.KeyHashes, from.KeyHashes); n > 0 {
		details = append(details, Detail{Name: "keys added", New: strconv.Itoa(n)})
	}
	if n := countMissing(from.KeyHashes, to.KeyHashes); n > 0 {
		details = append(details, Detail{Name: "keys removed", New: strconv.Itoa(n)})
	}
	if old, next := capText(from), capText(to); old != next {
		details = append(details, Detail{Name: capChange(from, to), Old: old, New: next})
	}
	if old, next := priorityText(from), priorityText(to); old != next {
		details = append(details, Detail{Name: "priority", Old: old, New: next})
	}
	return details
}

// countMissing returns the number of hashes that are not in other.
func countMissing(hashes, other []table.KeyHash) int {
	known := make(map[table.KeyHash]bool, len(other))
	for _, hash := range other {
		known[hash] = true
	}
	n := 0
	for _, hash := range hashes {
		if !known[hash] {
			n++
		}
	}
	return n
}

// capChange names the direction in which a cap changes. No cap is the highest one.
func capChange(from, to table.Workspace) string {
	unlimitedFrom, unlimitedTo := from.RatePerSecond <= 0, to.RatePerSecond <= 0
	rate, burst := cmp.Compare(to.RatePerSecond, from.RatePerSecond), cmp.Compare(to.Burst, from.Burst)
	switch {
	case unlimitedTo:
		return "cap removed"
	case unlimitedFrom:
		return "cap set"
	case rate >= 0 && burst >= 0:
		return "cap raised"
	case rate <= 0 && burst <= 0:
		return "cap lowered"
	default:
		return "cap changed"
	}
}

func capText(w table.Workspace) string {
	if w.RatePerSecond <= 0 {
		return "none"
	}
	return fmt.Sprintf("%v/s burst %v", w.RatePerSecond, w.Burst)
}

func priorityText(w table.Workspace) string {
	if w.Priority == nil {
		return "of the route"
	}
	return strconv.Itoa(*w.Priority)
}
