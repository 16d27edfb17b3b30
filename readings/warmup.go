package readings

// WarmUpLimits bound the requests that all instances together send to a cold server. In any
// second these are at most its rate x Excess + Slack.
type WarmUpLimits struct {
	Excess float64
	// Slack is a number of requests.
	Slack float64
}
