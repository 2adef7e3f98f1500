package hibiscusprocess

import (
	"log/slog"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// recordShare is the divisor of the memory for the payloads and results of jobs. The budgets of requests take half of the memory.
const recordShare = 5

// newGuards returns the guards of the listeners of a process with the limits in its settings.
func newGuards(limits hibiscusprotocol.ProcessLimits, log *slog.Logger) *hibiscustransport.Guards {
	capacity := hibiscustransport.NewCapacity(limits.Memory()).
		WithConnections(limits.MaxConnections(), limits.MaxConnectionsPerAddress()).WithBytes(limits.MaxHeads(), limits.MaxBodies())
	return hibiscustransport.NewGuards(capacity, log)
}

// requestLimits returns the limits of callers' requests in the configuration in force, false if it can't be told.
func (e *Entry) requestLimits() (hibiscusstate.RequestLimits, bool) {
	configuration, err := e.coordination.Configuration()
	if err != nil || configuration == nil || configuration.Document() == nil {
		return hibiscusstate.RequestLimits{}, false
	}
	return configuration.Document().Limits(), true
}
