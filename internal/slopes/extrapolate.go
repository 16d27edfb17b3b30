package slopes

import (
	"fmt"
	"math"
)

// Size describes a fleet to extrapolate to.
type Size struct {
	// Calls is the number of requests per second over the fleet. Each hop of a
	// request counts.
	Calls                          float64
	Services, Servers, DataCentres float64
	// TableChanges is the number of accepted tables per day, and
	// ReplacedInstances that of restarted or failed instances per day.
	TableChanges, ReplacedInstances float64
	// CPUUtilization is the fraction of its single core that an instance uses.
	CPUUtilization float64
	// KeyedShare is the fraction of requests that make a claim.
	KeyedShare float64
	// RetentionSeconds is how long claim keys are retained.
	RetentionSeconds float64
}

// Target is the fleet size that docs/CAPACITY.md plans for.
var Target = Size{
	Calls: 500_000, Services: 37, Servers: 1300, DataCentres: 7, TableChanges: 1000, ReplacedInstances: 114,
	CPUUtilization: 0.5, KeyedShare: 0.01, RetentionSeconds: secondsPerDay,
}

const (
	secondsPerDay    = 86_400
	secondsPerMinute = 60
	// partitions is the number of partitions and keyBytes the key memory of an
	// owner, both as package claim has them by default.
	partitions = 16
	keyBytes   = 24 << 20
	// listReads is the limit that package membership sets on instance list reads
	// per second over the fleet.
	listReads = 100
	// linksPerDataCentre is the number of links to each other data centre in the
	// design of docs/design/mesh.md.
	linksPerDataCentre = 3
	nanoseconds        = 1e9
	megabyte           = 1e6
)

// Figure is an extrapolated value and a description of how it is derived.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	From  string  `json:"from"`
}

// extrapolation computes the figures for one size from measured series.
type extrapolation struct {
	series  map[string]*Series
	size    Size
	figures []Figure
}

// add appends a figure. A value that is not a finite number becomes -1 and is
// marked as not measured.
func (p *extrapolation) add(name string, value float64, unit, from string) {
	if math.IsNaN(value) || math.IsInf(value, 0) {
		value, from = -1, "not measured: "+from
	}
	p.figures = append(p.figures, Figure{Name: name, Value: value, Unit: unit, From: from})
}

// seriesNamed returns the series of that name. A series that was not measured has
// only NaN values.
func (p *extrapolation) seriesNamed(name string) *Series {
	if s := p.series[name]; s != nil {
		return s
	}
	return &Series{Name: name, Slope: math.NaN(), Base: math.NaN()}
}

// lastValue returns the value at the largest size, or NaN without points.
func (s *Series) lastValue() float64 {
	if len(s.Points) == 0 {
		return math.NaN()
	}
	return s.Points[len(s.Points)-1].Value
}

// firstValue returns the value at the smallest size, or NaN without points.
func (s *Series) firstValue() float64 {
	if len(s.Points) == 0 {
		return math.NaN()
	}
	return s.Points[0].Value
}

// Extrapolate computes the figures for a fleet size from measured series. A
// figure whose series is missing has the value -1.
func Extrapolate(series []Series, size Size) []Figure {
	p := &extrapolation{series: make(map[string]*Series), size: size}
	for i := range series {
		p.series[series[i].Name] = &series[i]
	}
	entries := p.addEntryInstances()
	p.addMesh(entries)
	p.addSlots(entries)
	p.addClaims(entries)
	p.addTables(entries)
	p.addMembershipAndBurn(entries)
	return p.figures
}

// addEntryInstances adds the CPU and connection figures and returns the number
// of entry instances that the size needs.
func (p *extrapolation) addEntryInstances() float64 {
	var slopes []float64
	for _, n := range fleetSizes {
		slopes = append(slopes, p.seriesNamed(fmt.Sprintf("daemons=%d.cpu", n)).Slope/percent)
	}
	perCall := median(slopes)
	p.add("cpu a call", perCall*microseconds, "µs", "median slope of daemons=*.cpu")
	p.add("cores for all calls", perCall*p.size.Calls, "cores", "cpu a call x calls")
	entries := math.Ceil(perCall * p.size.Calls / p.size.CPUUtilization)
	p.add("entry instances", entries, "instances", "cores / busy part of one core")
	p.add("calls a daemon", p.size.Calls/entries, "1/s", "calls / entry instances")
	perConnection := p.seriesNamed("daemon.memory with connections").Slope
	p.add("memory a connection", perConnection/1000, "KB", "slope of daemon.memory with connections")
	return entries
}

func (p *extrapolation) addMesh(entries float64) {
	local := entries/p.size.DataCentres - 1
	linkedSessions := local + 2*linksPerDataCentre*(p.size.DataCentres-1)
	idle := p.seriesNamed("peer.Idle sent-B/s")
	p.add("sessions, full mesh", entries-1, "sessions", "entry instances - 1")
	p.add("sessions, linked data centres", linkedSessions, "sessions", "n/d - 1 + 2 x 3 x (d-1)")
	memory := p.seriesNamed("peer.Idle B/session").lastValue()
	p.add("session memory, full mesh", memory*(entries-1)/megabyte, "MB", "peer.Idle B/session at the largest size x sessions")
	p.add("session memory, linked data centres", memory*linkedSessions/megabyte, "MB", "the same x sessions")
	p.add("heartbeats, sent and received", 2*idle.lastValue(), "B/s", "2 x peer.Idle sent-B/s at the largest size; flat above 20 sessions")
	cpu := p.seriesNamed("peer.Idle cpu-us/s").lastValue()
	p.add("heartbeats cpu", cpu/microseconds*percent, "% of a core", "peer.Idle cpu-us/s at the largest size")
	const intervalPerSession, missedHeartbeats = 0.015, 3
	p.add("silence until a loss, full mesh", intervalPerSession*missedHeartbeats*(entries-1), "s", "15 ms x sessions x 3, the rule of package peer")
	p.add("silence until a loss, linked data centres", max(0.3, intervalPerSession*linkedSessions)*missedHeartbeats, "s", "the same rule")
}

func (p *extrapolation) addSlots(entries float64) {
	rate := p.size.Calls / entries
	holders := entries / p.size.DataCentres
	groups := p.size.Services * p.size.DataCentres
	bytes, messages := p.seriesNamed("slots.bytes a call"), p.seriesNamed("slots.messages a call")
	p.add("slots a holder and group", p.size.Servers*6/groups/holders, "slots", "slots / groups / instances of a data centre")
	p.add("slot bytes a call", bytes.firstValue(), "B", "slots.bytes a call at the fewest slots a holder")
	p.add("slot messages a call", messages.firstValue(), "1", "slots.messages a call at the fewest slots a holder")
	p.add("slot traffic a daemon", bytes.firstValue()*rate/1000, "KB/s", "slot bytes a call x calls a daemon")
	p.add("slot messages a daemon", messages.firstValue()*rate, "1/s", "slot messages a call x calls a daemon")
	requestTime := p.seriesNamed("slot.CoordinatorAsk ns/op").At(holders)
	p.add("cpu an ask", requestTime/1000, "µs", "slot.CoordinatorAsk at holders of a data centre")
	requestRate := messages.firstValue() / 2 * p.size.Calls / groups
	p.add("asks a group", requestRate, "1/s", "half of the messages a call x calls / groups")
	p.add("groups a daemon", groups/entries, "groups", "services x data centres / entry instances")
	p.add("coordinator cpu a group", requestRate*requestTime/nanoseconds*percent, "% of a core", "asks a group x cpu an ask")
	leases := p.size.Servers * 6 / groups
	p.add("coordinator memory a group", p.seriesNamed("slot.CoordinatorMemory heap-B").At(leases)/1000, "KB", "slot.CoordinatorMemory at the leases of a group")
	p.add("most calls a daemon within 20 KB/s", 20_000/bytes.firstValue(), "1/s", "20 KB/s / slot bytes a call")
}

func (p *extrapolation) addClaims(entries float64) {
	claims := p.size.Calls * p.size.KeyedShare
	keys := claims * p.size.RetentionSeconds
	rate := p.seriesNamed("claim.ClaimRate claims/s").lastValue()
	p.add("claims", claims, "1/s", "calls x keyed share")
	p.add("claims carried in the run", rate, "1/s", "claim.ClaimRate at 300 callers, 300 writes/s allowed")
	p.add("claim writes a claim", p.seriesNamed("claim.ClaimRate writes/claim").lastValue(), "1", "the same run")
	p.add("claim store bytes a claim", p.seriesNamed("claim.ClaimRate storeB/claim").lastValue(), "B", "the same run")
	perKey := p.seriesNamed("claim.IndexMemory.STATE_FINISHED B/key").lastValue()
	p.add("keys remembered", keys/megabyte, "million", "claims x retention")
	p.add("key memory of all owners", keys*perKey/megabyte, "MB", "keys x claim.IndexMemory.STATE_FINISHED B/key")
	p.add("key memory an owner, 16 partitions", keys*perKey/partitions/megabyte, "MB", "the same / 16")
	p.add("key memory an owner, spread over all", keys*perKey/entries/megabyte, "MB", "the same / entry instances")
	p.add("most claims, 16 owners of 24 MiB", partitions*keyBytes/perKey/p.size.RetentionSeconds, "1/s", "16 x 24 MiB / B/key / retention")
	p.add("most claims, all instances owners", entries*keyBytes/perKey/p.size.RetentionSeconds, "1/s", "entry instances x 24 MiB / B/key / retention")
	takeover := p.seriesNamed("claim.Takeover ns/op").Slope
	p.add("takeover of a partition of 16", keys/partitions*takeover/nanoseconds, "s", "keys / 16 x slope of claim.Takeover ns/op")
	p.add("takeover, one partition an instance", keys/entries*takeover/nanoseconds, "s", "keys / entry instances x the same")
}

func (p *extrapolation) addTables(entries float64) {
	bytes := p.seriesNamed("table.Accepted packed-B").At(p.size.Servers)
	p.add("table", bytes/1000, "KB", "table.Accepted packed-B at the servers")
	p.add("table fetches a daemon", bytes*p.size.TableChanges/secondsPerDay, "B/s", "table x changes a day")
	activation := p.seriesNamed("table.PutInForce ns/op").At(p.size.Servers)
	p.add("table put in force", activation/1e6, "ms", "table.PutInForce ns/op at the servers")
	p.add("table cpu a daemon", activation/nanoseconds*p.size.TableChanges/secondsPerDay*percent, "% of a core", "the same x changes a day")
	p.add("table offers a daemon, full mesh", 2*(entries-1)*p.size.TableChanges/secondsPerDay, "1/s", "one to and from each peer x changes a day")
	p.add("table head reads of the fleet", entries*p.seriesNamed("daemon.idle store reads").lastValue(), "1/s", "entry instances x daemon.idle store reads")
}

func (p *extrapolation) addMembershipAndBurn(entries float64) {
	list := p.seriesNamed("membership.list read").At(p.size.Servers + entries)
	perDaemon := min(1, listReads/entries)
	p.add("instance list", list/1000, "KB", "membership.list read at servers + entry instances")
	p.add("instance list reads of the fleet", perDaemon*entries, "1/s", "one a second and instance, at most 100; package membership")
	p.add("instance list traffic a daemon", list*perDaemon/1000, "KB/s", "list x reads a daemon")
	object := p.seriesNamed("burn.HourObject object-B").At(p.size.Services)
	p.add("burn traffic a daemon", object/secondsPerMinute, "B/s", "burn.HourObject at the services, written each minute")
	p.add("burn writes of the fleet", entries/secondsPerMinute, "1/s", "one object a minute and instance")
	p.add("burn store traffic", object*entries/secondsPerMinute/1000, "KB/s", "burn traffic a daemon x entry instances")
	p.add("resident memory before calls", p.seriesNamed("daemon.idle memory").lastValue()/megabyte, "MB", "daemon.idle memory, largest fleet")
	p.add("idle cpu", p.seriesNamed("daemon.idle cpu").lastValue(), "% of a core", "daemon.idle cpu, largest fleet, with the profile's own")
	p.add("replaced instances", p.size.ReplacedInstances/secondsPerDay*3600, "1/h", "restarted, replaced and failed a day")
}
