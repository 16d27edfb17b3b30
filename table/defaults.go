package table

import "time"

const millisecondsPerHour = int64(time.Hour / time.Millisecond)

// SetDefaults sets all columns to the defaults of a new fleet sheet.
func (f *Fleet) SetDefaults() {
	*f = Fleet{
		ClaimWritesPerSecond: 200,
		ClaimRetentionMS:     24 * millisecondsPerHour,
		ProbesPerSecond:      20,
	}
}

// SetDefaults sets all columns to the defaults of a new row.
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

// SetDefaults sets all columns to the defaults of a new row. Slots and
// connections have no default, since they depend on the server's capacity.
func (s *Server) SetDefaults() {
	*s = Server{Weight: 1, State: ServerServing}
}
