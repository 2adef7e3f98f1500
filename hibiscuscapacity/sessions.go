package hibiscuscapacity

import (
	"context"
	"time"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscustransport"
)

// The cost of sessions while no tasks are sent over them: memory, processor time and bytes.

const (
	// settleTime is the wait before the measurement, in which the sessions become idle.
	settleTime = 1500 * time.Millisecond
	// idleTime is the duration of the measurement; at one ping a second from each end it includes a few of them.
	idleTime = 8 * time.Second
)

var (
	entrySessions = []float64{25, 50, 100, 200}
	agentSessions = []float64{2, 4, 8, 12}
)

// idleCost is the cost of an idle harness.
type idleCost struct {
	memory    Slope
	processor Slope
	traffic   Slope
}

// measureIdle builds a harness of each size and measures it while it is idle.
func measureIdle(ctx context.Context, name string, sizes []float64, build func(r *harness, n int) error) (idleCost, error) {
	var memory, processor, traffic []float64
	for _, size := range sizes {
		before := liveBytes()
		r, err := newHarness(ctx)
		if err != nil {
			return idleCost{}, err
		}
		err = build(r, int(size))
		if err == nil {
			err = r.awaitConnected(int(size))
		}
		if err == nil {
			err = pause(ctx, settleTime)
		}
		memory = append(memory, (liveBytes()-before)/1024)
		used, bytes := hibiscustransport.ProcessorTime(), r.bytes.Load()
		if err == nil {
			err = pause(ctx, idleTime)
		}
		processor = append(processor, float64((hibiscustransport.ProcessorTime()-used).Microseconds())/idleTime.Seconds())
		traffic = append(traffic, float64(r.bytes.Load()-bytes)/idleTime.Seconds())
		r.close()
		if err != nil {
			return idleCost{}, err
		}
	}
	return idleCost{
		memory:    newSlope(name+" memory", "KiB", "session", sizes, memory),
		processor: newSlope(name+" processor time at rest", "us/s", "session", sizes, processor),
		traffic:   newSlope(name+" traffic at rest, both ways", "bytes/s", "session", sizes, traffic),
	}, nil
}

// subtractBareEnds subtracts the cost of the bare ends, which is half that of bare pairs.
func (i idleCost) subtractBareEnds(pairs idleCost) []Slope {
	return []Slope{
		i.memory.subtract(i.memory.name, pairs.memory, 0.5),
		i.processor.subtract(i.processor.name, pairs.processor, 0.5),
		i.traffic,
	}
}

func barePairs(r *harness, n int) error {
	r.accept(r.bareHandlers(hibiscuscoordination.RoleEntry, 0, ignore))
	r.dial(n, r.bareHandlers(hibiscuscoordination.RoleEntry, 0, ignore))
	// Both ends of each session are counted: the caller waits for the other n.
	return r.awaitConnected(n)
}

// measureSessions returns the cost of sessions at an entry and at an agent.
func measureSessions(ctx context.Context) ([]Slope, error) {
	entryPairs, err := measureIdle(ctx, "bare pairs", entrySessions, barePairs)
	if err != nil {
		return nil, err
	}
	entry, err := measureIdle(ctx, "entry", entrySessions, func(r *harness, n int) error {
		_, err := r.entry()
		r.dial(n, r.bareHandlers(hibiscuscoordination.RoleAgent, 8, ignore))
		return err
	})
	if err != nil {
		return nil, err
	}
	agentPairs, err := measureIdle(ctx, "bare pairs", agentSessions, barePairs)
	if err != nil {
		return nil, err
	}
	agent, err := measureIdle(ctx, "agent", agentSessions, func(r *harness, n int) error {
		r.accept(r.bareHandlers(hibiscuscoordination.RoleEntry, 0, ignore))
		r.agent(n)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return append(entry.subtractBareEnds(entryPairs), agent.subtractBareEnds(agentPairs)...), nil
}
