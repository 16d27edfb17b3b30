package slopes

import (
	"fmt"
	"math"
)

// Size is the size of a fleet to work figures out for.
type Size struct {
	// Calls is calls a second over the fleet; each hop of a call counts.
	Calls                          float64
	Services, Servers, DataCentres float64
	// Changes are accepted tables a day, Replaced restarted or failed
	// instances a day.
	Changes, Replaced float64
	// Busy is the part of its one core that an instance uses.
	Busy float64
	// KeyedShare is the part of the calls that makes a claim.
	KeyedShare float64
	// RetentionSeconds is how long keys are remembered.
	RetentionSeconds float64
}

// Target is the size that docs/CAPACITY.md works out.
var Target = Size{
	Calls: 500_000, Services: 37, Servers: 1300, DataCentres: 7, Changes: 1000, Replaced: 114,
	Busy: 0.5, KeyedShare: 0.01, RetentionSeconds: secondsPerDay,
}

const (
	secondsPerDay    = 86_400
	secondsPerMinute = 60
	// partitions and keyBytes are the defaults of package claim.
	partitions = 16
	keyBytes   = 24 << 20
	// listReads is the most list reads a second of a fleet by package
	// membership.
	listReads = 100
	// linksBetween is the number of links to each other data centre in the
	// plan of docs/design/mesh.md.
	linksBetween = 3
	nanoseconds  = 1e9
	megabyte     = 1e6
)

// Figure is a result, and where it came from.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	From  string  `json:"from"`
}

// plan gathers figures.
type plan struct {
	series  map[string]*Series
	size    Size
	figures []Figure
}

func (p *plan) add(name string, value float64, unit, from string) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		value, from = -1, "not measured: "+from
	}
	p.figures = append(p.figures, Figure{Name: name, Value: value, Unit: unit, From: from})
}

// line returns a series; one that was not measured has values that are not
// numbers.
func (p *plan) line(name string) *Series {
	if s := p.series[name]; s != nil {
		return s
	}
	return &Series{Name: name, Slope: math.NaN(), Base: math.NaN()}
}

// last returns the value at the largest size.
func (s *Series) last() float64 {
	if len(s.Points) == 0 {
		return math.NaN()
	}
	return s.Points[len(s.Points)-1].Value
}

// first returns the value at the smallest size.
func (s *Series) first() float64 {
	if len(s.Points) == 0 {
		return math.NaN()
	}
	return s.Points[0].Value
}

// Extrapolate works the figures of a size out.
func Extrapolate(series []Series, size Size) []Figure {
	p := &plan{series: make(map[string]*Series), size: size}
	for i := range series {
		p.series[series[i].Name] = &series[i]
	}
	entries := p.entries()
	p.mesh(entries)
	p.slots(entries)
	p.claims(entries)
	p.tables(entries)
	p.rest(entries)
	return p.figures
}

// entries returns the number of entry instances.
func (p *plan) entries() float64 {
	var slopes []float64
	for _, n := range fleetSizes {
		slopes = append(slopes, p.line(fmt.Sprintf("daemons=%d.cpu", n)).Slope/percent)
	}
	perCall := median(slopes)
	p.add("cpu a call", perCall*microseconds, "µs", "median slope of daemons=*.cpu")
	p.add("cores for all calls", perCall*p.size.Calls, "cores", "cpu a call x calls")
	entries := math.Ceil(perCall * p.size.Calls / p.size.Busy)
	p.add("entry instances", entries, "instances", "cores / busy part of one core")
	p.add("calls a daemon", p.size.Calls/entries, "1/s", "calls / entry instances")
	perConnection := p.line("daemon.memory with connections").Slope
	p.add("memory a connection", perConnection/1000, "KB", "slope of daemon.memory with connections")
	return entries
}

func (p *plan) mesh(entries float64) {
	local := entries/p.size.DataCentres - 1
	links := local + 2*linksBetween*(p.size.DataCentres-1)
	idle := p.line("peer.Idle sent-B/s")
	p.add("sessions, full mesh", entries-1, "sessions", "entry instances - 1")
	p.add("sessions, linked data centres", links, "sessions", "n/d - 1 + 2 x 3 x (d-1)")
	memory := p.line("peer.Idle B/session").last()
	p.add("session memory, full mesh", memory*(entries-1)/megabyte, "MB", "peer.Idle B/session at the largest size x sessions")
	p.add("session memory, linked data centres", memory*links/megabyte, "MB", "the same x sessions")
	p.add("heartbeats, sent and received", 2*idle.last(), "B/s", "2 x peer.Idle sent-B/s at the largest size; flat above 20 sessions")
	cpu := p.line("peer.Idle cpu-us/s").last()
	p.add("heartbeats cpu", cpu/microseconds*percent, "% of a core", "peer.Idle cpu-us/s at the largest size")
	const stretch, missed = 0.015, 3
	p.add("silence until a loss, full mesh", stretch*missed*(entries-1), "s", "15 ms x sessions x 3, the rule of package peer")
	p.add("silence until a loss, linked data centres", max(0.3, stretch*links)*missed, "s", "the same rule")
}

func (p *plan) slots(entries float64) {
	rate := p.size.Calls / entries
	holders := entries / p.size.DataCentres
	groups := p.size.Services * p.size.DataCentres
	bytes, messages := p.line("slots.bytes a call"), p.line("slots.messages a call")
	p.add("slots a holder and group", p.size.Servers*6/groups/holders, "slots", "slots / groups / instances of a data centre")
	p.add("slot bytes a call", bytes.first(), "B", "slots.bytes a call at the fewest slots a holder")
	p.add("slot messages a call", messages.first(), "1", "slots.messages a call at the fewest slots a holder")
	p.add("slot traffic a daemon", bytes.first()*rate/1000, "KB/s", "slot bytes a call x calls a daemon")
	p.add("slot messages a daemon", messages.first()*rate, "1/s", "slot messages a call x calls a daemon")
	ask := p.line("slot.CoordinatorAsk ns/op").At(holders)
	p.add("cpu an ask", ask/1000, "µs", "slot.CoordinatorAsk at holders of a data centre")
	asks := messages.first() / 2 * p.size.Calls / groups
	p.add("asks a group", asks, "1/s", "half of the messages a call x calls / groups")
	p.add("groups a daemon", groups/entries, "groups", "services x data centres / entry instances")
	p.add("coordinator cpu a group", asks*ask/nanoseconds*percent, "% of a core", "asks a group x cpu an ask")
	leases := p.size.Servers * 6 / groups
	p.add("coordinator memory a group", p.line("slot.CoordinatorMemory heap-B").At(leases)/1000, "KB", "slot.CoordinatorMemory at the leases of a group")
	p.add("most calls a daemon within 20 KB/s", 20_000/bytes.first(), "1/s", "20 KB/s / slot bytes a call")
}

func (p *plan) claims(entries float64) {
	claims := p.size.Calls * p.size.KeyedShare
	keys := claims * p.size.RetentionSeconds
	rate := p.line("claim.ClaimRate claims/s").last()
	p.add("claims", claims, "1/s", "calls x keyed share")
	p.add("claims carried in the run", rate, "1/s", "claim.ClaimRate at 300 callers, 300 writes/s allowed")
	p.add("claim writes a claim", p.line("claim.ClaimRate writes/claim").last(), "1", "the same run")
	p.add("claim store bytes a claim", p.line("claim.ClaimRate storeB/claim").last(), "B", "the same run")
	perKey := p.line("claim.IndexMemory.STATE_FINISHED B/key").last()
	p.add("keys remembered", keys/megabyte, "million", "claims x retention")
	p.add("key memory of all owners", keys*perKey/megabyte, "MB", "keys x claim.IndexMemory.STATE_FINISHED B/key")
	p.add("key memory an owner, 16 partitions", keys*perKey/partitions/megabyte, "MB", "the same / 16")
	p.add("key memory an owner, spread over all", keys*perKey/entries/megabyte, "MB", "the same / entry instances")
	p.add("most claims, 16 owners of 24 MiB", partitions*keyBytes/perKey/p.size.RetentionSeconds, "1/s", "16 x 24 MiB / B/key / retention")
	p.add("most claims, all instances owners", entries*keyBytes/perKey/p.size.RetentionSeconds, "1/s", "entry instances x 24 MiB / B/key / retention")
	takeover := p.line("claim.Takeover ns/op").Slope
	p.add("takeover of a partition of 16", keys/partitions*takeover/nanoseconds, "s", "keys / 16 x slope of claim.Takeover ns/op")
	p.add("takeover, one partition an instance", keys/entries*takeover/nanoseconds, "s", "keys / entry instances x the same")
}

func (p *plan) tables(entries float64) {
	bytes := p.line("table.Accepted packed-B").At(p.size.Servers)
	p.add("table", bytes/1000, "KB", "table.Accepted packed-B at the servers")
	p.add("table fetches a daemon", bytes*p.size.Changes/secondsPerDay, "B/s", "table x changes a day")
	force := p.line("table.PutInForce ns/op").At(p.size.Servers)
	p.add("table put in force", force/1e6, "ms", "table.PutInForce ns/op at the servers")
	p.add("table cpu a daemon", force/nanoseconds*p.size.Changes/secondsPerDay*percent, "% of a core", "the same x changes a day")
	p.add("table offers a daemon, full mesh", 2*(entries-1)*p.size.Changes/secondsPerDay, "1/s", "one to and from each peer x changes a day")
	p.add("table head reads of the fleet", entries*p.line("daemon.idle store reads").last(), "1/s", "entry instances x daemon.idle store reads")
}

func (p *plan) rest(entries float64) {
	list := p.line("membership.list read").At(p.size.Servers + entries)
	perDaemon := min(1, listReads/entries)
	p.add("instance list", list/1000, "KB", "membership.list read at servers + entry instances")
	p.add("instance list reads of the fleet", perDaemon*entries, "1/s", "one a second and instance, at most 100; package membership")
	p.add("instance list traffic a daemon", list*perDaemon/1000, "KB/s", "list x reads a daemon")
	object := p.line("burn.HourObject object-B").At(p.size.Services)
	p.add("burn traffic a daemon", object/secondsPerMinute, "B/s", "burn.HourObject at the services, written each minute")
	p.add("burn writes of the fleet", entries/secondsPerMinute, "1/s", "one object a minute and instance")
	p.add("burn store traffic", object*entries/secondsPerMinute/1000, "KB/s", "burn traffic a daemon x entry instances")
	p.add("resident memory before calls", p.line("daemon.idle memory").last()/megabyte, "MB", "daemon.idle memory, largest fleet")
	p.add("idle cpu", p.line("daemon.idle cpu").last(), "% of a core", "daemon.idle cpu, largest fleet, with the profile's own")
	p.add("replaced instances", p.size.Replaced/secondsPerDay*3600, "1/h", "restarted, replaced and failed a day")
}
