package hibiscusprocess

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"sync"
)

// The observer checks the invariants of the system from outside: it gets only the starts of tasks at endpoints and the answers to
// callers.

type observer struct {
	mu         sync.Mutex
	starts     map[string]int
	running    map[string]int
	slotFaults []string
	answers    map[string][]observedAnswer
	submits    map[string]int
}

// observedAnswer is the body of an answer: the state of a job or a refusal.
type observedAnswer struct {
	State string `json:"state"`
	Tasks []struct {
		Outcome string          `json:"outcome"`
		Output  json.RawMessage `json:"output"`
	} `json:"tasks"`
	Error struct {
		Code string `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
	// startsAtRequest and startsAtAnswer are how many tasks had been started under the key when the request was sent and when the
	// answer arrived.
	startsAtRequest int
	startsAtAnswer  int
}

// markPattern matches the key in the payload of a task of a random session; endpoints return it in the output.
var markPattern = regexp.MustCompile(`"mark":"([^"]+)"`)

func newObserver() *observer {
	return &observer{starts: map[string]int{}, running: map[string]int{}, answers: map[string][]observedAnswer{}, submits: map[string]int{}}
}

func (o *observer) endpointEvent(name string, slots int, taskID, what string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if what != "started" {
		o.running[name]--
		return
	}
	o.starts[taskID]++
	if o.running[name]++; o.running[name] > slots {
		o.slotFaults = append(o.slotFaults, fmt.Sprintf("endpoint %s has %d tasks in %d slots", name, o.running[name], slots))
	}
}

func (o *observer) addSubmission(key string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.submits[key]++
}

// startCount returns how many tasks have been started so far under a key.
func (o *observer) startCount(key string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.startCountLocked(key)
}

func (o *observer) addAnswer(body, key string, startsAtRequest int) {
	var a observedAnswer
	if json.Unmarshal([]byte(body), &a) != nil {
		a.Error.Code = "not JSON: " + body
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	a.startsAtRequest = startsAtRequest
	a.startsAtAnswer = o.startCountLocked(key)
	o.answers[key] = append(o.answers[key], a)
}

// counts returns the numbers of job states, refusals and task outcomes in all answers.
func (o *observer) counts() map[string]int {
	o.mu.Lock()
	defer o.mu.Unlock()
	counts := map[string]int{}
	for _, answers := range o.answers {
		for _, a := range answers {
			if a.Error.Code != "" {
				counts["refused "+a.Error.Code+", "+a.Error.Run]++
			} else {
				counts["job "+a.State]++
			}
			for _, t := range a.Tasks {
				counts["task "+t.Outcome]++
			}
		}
	}
	return counts
}

// faults returns a description of each violated invariant.
func (o *observer) faults() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	faults := slices.Clone(o.slotFaults)
	for id, n := range o.starts {
		if n > 1 {
			faults = append(faults, fmt.Sprintf("task %s was started %d times", id, n))
		}
	}
	for key, answers := range o.answers {
		finals := map[int]string{}
		for _, a := range answers {
			faults = append(faults, o.checkAnswer(key, a, finals)...)
		}
	}
	slices.Sort(faults)
	return faults
}

// checkAnswer checks an answer; finals has the final outcome of each task from earlier answers for the key.
func (o *observer) checkAnswer(key string, a observedAnswer, finals map[int]string) []string {
	faults := []string{}
	fault := func(format string, args ...any) {
		faults = append(faults, "key "+key+": "+fmt.Sprintf(format, args...))
	}
	if strings.HasPrefix(a.Error.Code, "not JSON") {
		fault("answer is %s", a.Error.Code)
	}
	// A key whose submission was refused as not run may be used again, so only starts before the refusal count.
	started := a.startsAtAnswer
	switch {
	case a.Error.Code == "unknown_job":
		// The submission may arrive while this request for its key is in flight.
		started = a.startsAtRequest
	case o.submits[key] <= 1:
		started = o.startCountLocked(key)
	}
	if a.Error.Run == "not_run" && a.Error.Code != "key_reused" && started > 0 {
		fault("refused %s as not run, but %d tasks were started", a.Error.Code, started)
	}
	if a.State == "running" && len(a.Tasks) > 0 {
		fault("the answer for a running job has outcomes")
	}
	for i, t := range a.Tasks {
		if a.State == "complete" && t.Outcome != "finished" {
			fault("task %d of a complete job is %s", i, t.Outcome)
		}
		if t.Outcome == "not_run" && o.starts[taskIDOf(key, i)] > 0 {
			fault("task %d is reported as not run, but it was started", i)
		}
		if t.Outcome == "finished" && o.starts[taskIDOf(key, i)] == 0 {
			fault("task %d is reported as finished, but it was never started", i)
		}
		if mark := markPattern.FindSubmatch(t.Output); mark != nil && string(mark[1]) != key {
			fault("task %d has the output of key %s", i, mark[1])
		}
		if t.Outcome == "may_have_run" || t.Outcome == "" {
			continue
		}
		final := t.Outcome + " " + string(t.Output)
		if finals[i] != "" && finals[i] != final {
			fault("task %d is reported as %q and as %q", i, finals[i], final)
		}
		finals[i] = final
	}
	return faults
}

func (o *observer) startCountLocked(key string) int {
	n := 0
	for id, starts := range o.starts {
		if strings.HasPrefix(id, strings.TrimSuffix(taskIDOf(key, 0), "0")) {
			n += starts
		}
	}
	return n
}

// taskIDOf returns the id of a task at endpoints, for a key like hr1-INCARNATION-SEQUENCE-MAC.
func taskIDOf(key string, index int) string {
	parts := strings.Split(key, "-")
	if len(parts) != 4 {
		return "no key"
	}
	return fmt.Sprintf("%s-%s-%d", parts[1], parts[2], index)
}
