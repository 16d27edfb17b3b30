package table

import "time"

// Mode selects whether a service is optimised for latency or for cost.
type Mode string

// Modes of a service.
const (
	// ModeTail uses hedged requests and reserved slots to reduce tail latency.
	ModeTail Mode = "tail"
	// ModeCost keeps the number of measurements and additional attempts low.
	ModeCost Mode = "cost"
)

// Policy selects how a backend server is chosen for a request.
type Policy string

// Policies of a service.
const (
	PolicyLeases    Policy = "leases"
	PolicyBestOfTwo Policy = "best-of-two"
	PolicyRandom    Policy = "random"
)

// ServerState is the state of a backend server that operators configure.
type ServerState string

// States of a backend server.
const (
	ServerServing  ServerState = "serving"
	ServerDraining ServerState = "draining"
)

// Document is a complete table. Durations are integer milliseconds, so that they
// can be edited in a spreadsheet.
type Document struct {
	// Version is assigned at acceptance; the first is 1.
	Version uint64 `json:"version"`
	// AcceptedAt, Author and Message describe the acceptance.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	Author     string    `json:"author,omitempty"`
	Message    string    `json:"message,omitempty"`
	// AcceptanceID identifies the acceptance. PreviousSum is the checksum of the
	// preceding version, so that accepted versions form a chain.
	AcceptanceID string `json:"acceptance_id,omitempty"`
	PreviousSum  string `json:"previous_sum,omitempty"`

	Fleet    Fleet     `json:"fleet"`
	Services []Service `json:"services"`
	Routes   []Route   `json:"routes"`
	Servers  []Server  `json:"servers"`
	// Workspaces lists the workspaces whose requests are served.
	Workspaces []Workspace `json:"workspaces,omitempty"`
	// KeysRequired is set if requests need the key of a workspace even though none is listed, so
	// that all are rejected but those on public routes. An empty list alone doesn't say so: it is
	// left out when a document is encoded.
	KeysRequired bool `json:"keys_required,omitempty"`
}

// NeedsKeys reports whether requests need the key of a workspace, except on public routes.
func (d Document) NeedsKeys() bool { return d.KeysRequired || len(d.Workspaces) > 0 }

// Fleet holds the limits that apply across all services.
type Fleet struct {
	// ClaimWritesPerSecond limits the journal's writes to the table service
	// across the fleet.
	ClaimWritesPerSecond int `json:"claim_writes_per_second" range:"1,100000"`
	// ClaimRetentionMS is how long a claimed key is retained.
	ClaimRetentionMS int64 `json:"claim_retention_ms" range:"1000,2592000000"`
	// ProbesPerSecond limits active probes across the fleet.
	ProbesPerSecond int `json:"probes_per_second" range:"0,100000"`
	// MaxBodyBytes limits the request body for every service; zero applies only
	// the limits of the services.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty" range:"0,1073741824"`
	// IdleTimeoutMS is the idle timeout of a caller's connection.
	// HeaderTimeoutMS is the timeout for reading a request's header and
	// MaxHeaderBytes its maximum size. Zero uses the value of the settings.
	IdleTimeoutMS   int64 `json:"idle_timeout_ms,omitempty" range:"0,3600000"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms,omitempty" range:"0,600000"`
	MaxHeaderBytes  int64 `json:"max_header_bytes,omitempty" range:"0,1048576"`
}

// Service is one row of the services sheet.
type Service struct {
	Name   string `json:"name" format:"name"`
	Mode   Mode   `json:"mode" enum:"tail,cost"`
	Policy Policy `json:"policy" enum:"leases,best-of-two,random"`
	// Weight is the service's relative share when services compete for an
	// instance's capacity.
	Weight int `json:"weight" range:"1,1000"`
	// DeadlineMS is the maximum duration of a request.
	DeadlineMS int64 `json:"deadline_ms" range:"1,600000"`
	// QueueLimit limits the queued requests at one instance.
	QueueLimit int `json:"queue_limit" range:"0,1000000"`
	// MaxBodyBytes limits the request body.
	MaxBodyBytes int64 `json:"max_body_bytes" range:"0,1073741824"`
	// RetryPercent limits retries and hedges, as a percentage of requests.
	RetryPercent int `json:"retry_percent" range:"0,100"`
	// HedgePercentile is the latency percentile after which a repeatable
	// request may be hedged; 0 disables hedging.
	HedgePercentile float64 `json:"hedge_percentile" range:"0,99.9"`
	// CancelGraceMS is how long a backend server may continue to process a
	// request after its connection was closed; the slot stays occupied meanwhile.
	CancelGraceMS int64 `json:"cancel_grace_ms" range:"0,600000"`
	// RampMS is the time over which the slots of a new backend server become
	// available.
	RampMS int64 `json:"ramp_ms" range:"0,600000"`
	// ChecksMark states that the backend servers echo X-Request-Id; a response
	// with a different value is then discarded.
	ChecksMark bool `json:"checks_mark"`
	// HealthPath is requested from backend servers found by discovery to get
	// their state and load; "" sends no such requests.
	HealthPath string `json:"health_path,omitempty" format:"health"`
	// Connections is the maximum number of connections that each backend server
	// found by discovery accepts from the fleet; zero means no known limit.
	Connections int `json:"connections,omitempty" range:"0,100000"`
	// WarmUpMS is how long a backend server found by discovery is cold after its start.
	// While it is cold, it accepts WarmUpPerSecond requests a second from the fleet; zero
	// means no known limit.
	WarmUpMS        int64   `json:"warm_up_ms,omitempty" range:"0,3600000"`
	WarmUpPerSecond float64 `json:"warm_up_per_second,omitempty" range:"0,100000"`
	// ObjectivePercent is the percentage of requests that must get a complete
	// response within ObjectiveLatencyMS.
	ObjectivePercent   float64 `json:"objective_percent" range:"1,99.999"`
	ObjectiveLatencyMS int64   `json:"objective_latency_ms" range:"1,600000"`
}

// Route is one row of the routes sheet. Among matching routes, the longest path
// prefix takes precedence, then a route with a method over one without, then a
// route with a host over one without.
type Route struct {
	// Host matches the request's host without its port; "" matches all.
	Host string `json:"host,omitempty" format:"host"`
	// Method matches the request's method; "" matches all.
	Method string `json:"method,omitempty" format:"method"`
	// PathPrefix matches the start of the path.
	PathPrefix string `json:"path_prefix" format:"path"`
	Service    string `json:"service" format:"name"`
	// Repeatable states that a request may safely be executed more than once.
	Repeatable bool `json:"repeatable"`
	// KeyRequired rejects non-repeatable requests without Idempotency-Key.
	KeyRequired bool `json:"key_required,omitempty"`
	// DeadlineMS overrides the service's deadline if not zero.
	DeadlineMS int64 `json:"deadline_ms,omitempty" range:"0,600000"`
	// TargetMS is the latency within which a response has its full value; zero
	// means the service's objective.
	TargetMS int64 `json:"target_ms,omitempty" range:"0,600000"`
	// Priority orders the route's requests when capacity is insufficient; 0 is
	// the highest priority.
	Priority int `json:"priority,omitempty" range:"0,1000"`
	// Attempts is the maximum number of backend servers to which one request is
	// sent; zero means the default.
	Attempts int `json:"attempts,omitempty" range:"0,10"`
	// Split distributes the route's requests among services in proportion to
	// their weights, for example "orders=90 orders-next=10"; "" sends all
	// requests to Service.
	Split string `json:"split,omitempty" format:"split"`
	// Public serves requests without a key, in a table with workspaces.
	Public bool `json:"public,omitempty"`
}

// Server is one row of the servers sheet: a backend server of a service.
type Server struct {
	Service string `json:"service" format:"name"`
	Name    string `json:"name" format:"name"`
	// Address is an IP address with a port.
	Address    string `json:"address" format:"addrport"`
	DataCentre string `json:"data_centre" format:"name"`
	// Weight is the preference among otherwise equal servers.
	Weight int `json:"weight" range:"0,1000"`
	// Slots is the maximum number of concurrent requests at the server.
	Slots int `json:"slots" range:"1,10000"`
	// Connections is the maximum number of open connections to the server from
	// the whole fleet.
	Connections int         `json:"connections" range:"1,100000"`
	State       ServerState `json:"state" enum:"serving,draining"`
}
