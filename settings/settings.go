package settings

import (
	"time"
)

// Settings holds the static settings of one instance. The tags of a field define
// its documentation and its validation:
//
//	doc       what the field means, with its unit
//	required  "true" if the field must not be empty
//	range     the minimum and maximum value, inclusive
//	format    name, addrport, url, sha256, file or level
type Settings struct {
	Fleet     string    `json:"fleet" required:"true" format:"name" doc:"Name of the fleet; instances of other fleets are refused."`
	Instance  Instance  `json:"instance" doc:"The local instance."`
	Listen    Listen    `json:"listen" doc:"Where the instance listens."`
	Advertise Advertise `json:"advertise" doc:"Where others reach the instance."`
	Platform  Platform  `json:"platform" doc:"The platform's services."`
	Limits    Limits    `json:"limits" doc:"Bounds of the caller listener."`
	Stop      Stop      `json:"stop" doc:"Graceful shutdown."`
	Log       Log       `json:"log" doc:"Logging."`
	TLS       TLS       `json:"tls" doc:"Certificates; files are relative to the settings file and read again when they change."`
	Plain     bool      `json:"plain" doc:"Allows listeners without TLS."`
	// OperatorTokenSHA256 is the hash of the token that authenticates operators.
	OperatorTokenSHA256 string `json:"operator_token_sha256,omitempty" format:"sha256" doc:"SHA-256 in hexadecimal of the token that lets operators accept tables. Without it an operator needs a certificate signed by tls.operator.client_ca."`
}

// Instance describes the local instance.
type Instance struct {
	ID         string `json:"id" required:"true" format:"name" doc:"Unique over the life of the fleet; a replacement gets a new one."`
	Region     string `json:"region" required:"true" format:"name" doc:"Region of the instance."`
	DataCentre string `json:"data_centre" required:"true" format:"name" doc:"Data centre of the instance."`
}

// Listen holds the addresses of the listeners.
type Listen struct {
	Caller   string `json:"caller" required:"true" format:"addrport" doc:"IP address and port for callers."`
	Peer     string `json:"peer" required:"true" format:"addrport" doc:"IP address and port for sessions of other instances."`
	Operator string `json:"operator" required:"true" format:"addrport" doc:"IP address and port for operators, health checks and metrics."`
}

// Advertise holds the addresses that the instance publishes in the instance list.
type Advertise struct {
	Caller   string `json:"caller,omitempty" format:"addrport" doc:"IP address and port for callers; listen.caller if omitted."`
	Peer     string `json:"peer,omitempty" format:"addrport" doc:"IP address and port for other instances; listen.peer if omitted."`
	Operator string `json:"operator,omitempty" format:"addrport" doc:"IP address and port for operators; listen.operator if omitted."`
}

// Platform configures the client of the platform's services.
type Platform struct {
	URL       string `json:"url" required:"true" format:"url" doc:"Base URL of the platform's services."`
	TimeoutMS int64  `json:"timeout_ms" range:"1,60000" doc:"Longest time of one call to the platform, in milliseconds."`
}

// Timeout returns the timeout of one call to the platform.
func (p Platform) Timeout() time.Duration { return milliseconds(p.TimeoutMS) }

// Limits bounds the resources that callers may use.
type Limits struct {
	MaxHeaderBytes      int   `json:"max_header_bytes" range:"1024,1048576" doc:"Greatest size of a request's header, in bytes."`
	ReadHeaderTimeoutMS int64 `json:"read_header_timeout_ms" range:"1,600000" doc:"Longest time to read a request's header, in milliseconds."`
	IdleTimeoutMS       int64 `json:"idle_timeout_ms" range:"1,3600000" doc:"Longest time between two requests of a connection, in milliseconds."`
	BodyTimeoutMS       int64 `json:"body_timeout_ms" range:"1,3600000" doc:"Longest time without progress of a body in either direction, in milliseconds."`
	MaxConnections      int   `json:"max_connections" range:"1,1000000" doc:"Most connections of callers at once."`
	MaxBufferedBytes    int64 `json:"max_buffered_bytes" range:"0,1073741824" doc:"Most bytes of bodies that are kept in memory at once, in bytes."`
}

// ReadHeaderTimeout returns the timeout for reading a request's header.
func (l Limits) ReadHeaderTimeout() time.Duration { return milliseconds(l.ReadHeaderTimeoutMS) }

// IdleTimeout returns the time after which an idle connection is closed.
func (l Limits) IdleTimeout() time.Duration { return milliseconds(l.IdleTimeoutMS) }

// BodyTimeout returns the longest time without progress in the transfer of a body,
// in either direction.
func (l Limits) BodyTimeout() time.Duration { return milliseconds(l.BodyTimeoutMS) }

// Stop configures the graceful shutdown of the instance.
type Stop struct {
	BalancerLagMS  int64 `json:"balancer_lag_ms" range:"0,600000" doc:"Time for which the platform's balancer may still send new connections after the instance became unready, in milliseconds."`
	DrainTimeoutMS int64 `json:"drain_timeout_ms" range:"0,3600000" doc:"Longest time to wait for requests in flight after that, in milliseconds; 0 waits for all of them."`
}

// BalancerLag returns the time for which new connections may still arrive after
// the instance became unready.
func (s Stop) BalancerLag() time.Duration { return milliseconds(s.BalancerLagMS) }

// DrainTimeout returns the longest time to wait for in-flight requests during
// shutdown; zero means no limit.
func (s Stop) DrainTimeout() time.Duration { return milliseconds(s.DrainTimeoutMS) }

// Log configures logging.
type Log struct {
	Level string `json:"level" format:"level" doc:"Least level that is logged: debug, info, warn or error."`
}

// TLS holds the certificates of the listeners; nil means a listener without TLS.
type TLS struct {
	Caller   *Certificate `json:"caller,omitempty" doc:"Certificate of the caller listener."`
	Peer     *Certificate `json:"peer,omitempty" doc:"Certificate of peer sessions, in both directions; client_ca is required."`
	Operator *Certificate `json:"operator,omitempty" doc:"Certificate of the operator listener."`
}

// Certificate names the certificate files of one listener.
type Certificate struct {
	Cert     string `json:"cert" required:"true" format:"file" doc:"File with the certificate chain, in PEM."`
	Key      string `json:"key" required:"true" format:"file" doc:"File with the private key, in PEM."`
	ClientCA string `json:"client_ca,omitempty" format:"file" doc:"File with the authorities that sign clients' certificates, in PEM."`
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Default returns the default values of all settings. Required fields are empty.
func Default() *Settings {
	return &Settings{
		Platform: Platform{TimeoutMS: 2000},
		Limits: Limits{
			MaxHeaderBytes:      32 << 10,
			ReadHeaderTimeoutMS: 5000,
			IdleTimeoutMS:       60000,
			BodyTimeoutMS:       30000,
			MaxConnections:      20000,
			MaxBufferedBytes:    16 << 20,
		},
		Stop: Stop{BalancerLagMS: 5000},
		Log:  Log{Level: "info"},
	}
}
