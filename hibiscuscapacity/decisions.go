package hibiscuscapacity

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// The cost of decisions by the size of the configuration: sending it to one more process, and an admission.

const (
	pushRounds      = 200
	admissionRounds = 20_000
)

var (
	serviceCounts = []float64{10, 40, 160, 640}
	teamCounts    = []float64{7, 20, 67}
)

func configurationText(services, teams int) string {
	var b strings.Builder
	b.WriteString("services:\n")
	for i := range services {
		fmt.Fprintf(&b, "  - name: service_%d\n    kinds:\n", i)
		fmt.Fprintf(&b, "      - {name: %s, idempotent: true, urgent: true, run_ms: 80, deadline_ms: 3600000}\n", harnessKind)
	}
	b.WriteString("teams:\n")
	for i := range teams {
		fmt.Fprintf(&b, "  - {name: team_%d, share: %d, max_queued: 100000}\n", i, 1+i%9)
	}
	return b.String()
}

func parseConfiguration(services, teams int) (*hibiscusstate.Configuration, error) {
	text := configurationText(services, teams)
	document, err := hibiscusprotocol.ParseConfiguration("capacity", []byte(text))
	return hibiscusstate.NewConfiguration(1, text, document), err
}

// measurePush returns the processor time of sending a configuration to one process, and of receiving it there.
func measurePush() ([]Slope, error) {
	var sizes, encode, decode []float64
	for _, n := range serviceCounts {
		c, err := parseConfiguration(int(n), 67)
		if err != nil {
			return nil, err
		}
		sizes = append(sizes, float64(len(c.Text()))/1024)
		var frame []byte
		began := time.Now()
		for range pushRounds {
			if frame, err = hibiscusprotocol.EncodeFrame(nil, hibiscuscoordination.NewConfigurationMessage(c)); err != nil {
				return nil, err
			}
		}
		encode = append(encode, float64(time.Since(began).Microseconds())/pushRounds)
		began = time.Now()
		for range pushRounds / 10 {
			if _, err := hibiscusprotocol.DecodeFrame(frame); err != nil {
				return nil, err
			}
		}
		decode = append(decode, float64(time.Since(began).Microseconds())/(pushRounds/10))
	}
	return []Slope{
		newSlope("configuration push, sender", "us", "KiB of text", sizes, encode),
		newSlope("configuration push, receiver", "us", "KiB of text", sizes, decode),
	}, nil
}

// measureAdmission returns the time of one admission while every team has waiting tasks.
func measureAdmission() (Slope, error) {
	var values []float64
	for _, teams := range teamCounts {
		c, err := parseConfiguration(1, int(teams))
		if err != nil {
			return Slope{}, err
		}
		now := time.Now()
		d := hibiscuscoordination.NewDispatcher(1, hibiscuscoordination.NewDispatcherSeams(
			func(hibiscusstate.Incarnation, hibiscuscoordination.Message) bool { return true },
			func(hibiscuscoordination.Event) {},
			func(time.Duration) time.Duration { return 0 }))
		d.Configure(now, c)
		d.WorkerUp(now, hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, 2, "10.0.0.2:1", "a", 1,
			hibiscuscoordination.NewCapacity("service_0", 8, false, harnessLease)))
		refused := 0
		reply := func(a *hibiscuscoordination.Answer) {
			if a.Refusal() != hibiscusstate.RefusalNone {
				refused++
			}
		}
		tasks := []hibiscusstate.TaskSpec{hibiscusstate.NewTaskSpec(harnessKind, nil, time.Millisecond)}
		keys := d.IssueKeys(admissionRounds)
		began := time.Now()
		for i, key := range keys {
			d.Submit(now, hibiscuscoordination.NewSubmission(key, 1, fmt.Sprintf("team_%d", i%int(teams)), "service_0", tasks), reply)
		}
		values = append(values, float64(time.Since(began).Nanoseconds())/admissionRounds)
		if refused > 0 {
			return Slope{}, errors.Newf("%d of %d submissions were refused", refused, admissionRounds)
		}
	}
	return newSlope("admission of a job of one task", "ns", "team", teamCounts, values), nil
}

// Measure measures and returns all slopes; it takes about three minutes.
func Measure(ctx context.Context) ([]Slope, error) {
	slopes, err := measurePush()
	if err != nil {
		return nil, err
	}
	admission, err := measureAdmission()
	if err != nil {
		return nil, err
	}
	tasks, err := measureTasks(ctx)
	if err != nil {
		return nil, err
	}
	sessions, err := measureSessions(ctx)
	if err != nil {
		return nil, err
	}
	return append(append(append(sessions, tasks...), slopes...), admission), nil
}
