package table

import "time"

const millisecondsPerHour = int64(time.Hour / time.Millisecond)

// SetDefaults fills the columns that a new fleet sheet omits.
func (f *Fleet) SetDefaults() {
	*f = Fleet{
		ClaimWritesPerSecond: 200,
		ClaimRetentionMS:     24 * millisecondsPerHour,
		ProbesPerSecond:      20,
	}
}

// SetDefaults fills the columns that a new row omits.
func (s *Service) SetDefaults() {
	*s = Service{
		Mode:               ModeTail,
		Policy:             PolicyLeases,
		Weight:             1,
		DeadlineMS:         2000,
		QueueLimit:         200,
		MaxBodyBytes:       1 << 20,
		RetryPercent:       10,
		HedgePercentile:    95,
		CancelGraceMS:      100,
		RampMS:             2000,
		ObjectivePercent:   99.9,
		ObjectiveLatencyMS: 250,
	}
}

// SetDefaults fills the columns that a new row omits. Slots and connections
// have no default, since they are the limits of a machine.
func (s *Server) SetDefaults() {
	*s = Server{Weight: 1, State: ServerServing}
}
