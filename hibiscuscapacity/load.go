package hibiscuscapacity

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Load drives one entry with many concurrent callers: each submits a job, waits for the complete answer, and submits the next one
// with the key that the answer contains. A refused caller waits for the time given in the refusal.

// maxLatency is the longest job time that the histogram distinguishes, in microseconds.
const maxLatency = int64(5 * time.Minute / time.Microsecond)

// LoadSettings configure the callers and the jobs that they submit.
type LoadSettings struct {
	entry    string
	team     string
	service  string
	kind     string
	callers  int
	tasks    int
	payload  int
	duration time.Duration
}

// NewLoadSettings returns settings for callers that submit to an entry's caller address for a time.
func NewLoadSettings(entry string, callers int, duration time.Duration) LoadSettings {
	return LoadSettings{entry: entry, callers: callers, duration: duration, tasks: 1}
}

// WithJob returns the settings with the jobs: tasks of one kind, with payloads of about the given number of bytes.
func (s LoadSettings) WithJob(team, service, kind string, tasks, payload int) LoadSettings {
	s.team, s.service, s.kind, s.tasks, s.payload = team, service, kind, tasks, payload
	return s
}

// LoadResult is the result of a load run as the callers measured it.
type LoadResult struct {
	mu         sync.Mutex
	elapsed    time.Duration
	jobs       int
	tasks      int
	refusals   int
	wrong      int
	firstWrong string
	latency    *hdrhistogram.Histogram
}

// Jobs returns the number of complete jobs.
func (r *LoadResult) Jobs() int { return r.jobs }

// TasksPerSecond returns the number of tasks of complete jobs per second.
func (r *LoadResult) TasksPerSecond() float64 { return float64(r.tasks) / r.elapsed.Seconds() }

// Refusals returns how many submissions were refused.
func (r *LoadResult) Refusals() int { return r.refusals }

// Wrong returns the number of answers that were neither complete nor a refusal, and a description of the first.
func (r *LoadResult) Wrong() (int, string) { return r.wrong, r.firstWrong }

// Latency returns a percentile of the job times.
func (r *LoadResult) Latency(percentile float64) time.Duration {
	return time.Duration(r.latency.ValueAtQuantile(percentile)) * time.Microsecond
}

type loadAnswer struct {
	State string `json:"state"`
	Tasks []struct {
		Outcome string `json:"outcome"`
	} `json:"tasks"`
	NextKey string `json:"next_key"`
	Error   *struct {
		Code         string `json:"code"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// Load runs the callers and returns their result; it waits for the jobs that were submitted within the duration.
func Load(ctx context.Context, settings LoadSettings) (*LoadResult, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.callers}}
	defer client.CloseIdleConnections()
	body := settings.requestBody()
	result := &LoadResult{latency: hdrhistogram.New(1, maxLatency, 3)}
	began := time.Now()
	submitting, stop := context.WithTimeout(ctx, settings.duration)
	defer stop()
	errs := make([]error, settings.callers)
	var callers sync.WaitGroup
	for i := range settings.callers {
		callers.Go(func() { errs[i] = settings.runCaller(submitting, client, body, result) })
	}
	callers.Wait()
	result.elapsed = time.Since(began)
	return result, errors.Join(errs...)
}

func (s LoadSettings) requestBody() []byte {
	task := fmt.Sprintf(`{"kind":%q,"payload":%q}`, s.kind, strings.Repeat("x", s.payload))
	return fmt.Appendf(nil, `{"team":%q,"service":%q,"tasks":[%s]}`, s.team, s.service,
		strings.TrimSuffix(strings.Repeat(task+",", s.tasks), ","))
}

// runCaller runs one caller.
func (s LoadSettings) runCaller(submitting context.Context, client *http.Client, body []byte, result *LoadResult) error {
	key := ""
	for submitting.Err() == nil {
		if key == "" {
			var keys struct {
				SubmissionKeys []string `json:"submission_keys"`
			}
			if err := s.post(client, "/v1/keys", "", nil, &keys); err != nil {
				return err
			}
			key = keys.SubmissionKeys[0]
		}
		began := time.Now()
		var answer loadAnswer
		if err := s.post(client, "/v1/jobs", key, body, &answer); err != nil {
			return err
		}
		result.add(s.tasks, &answer, time.Since(began))
		key = answer.NextKey
		if answer.Error != nil {
			// A pause that is interrupted ends the loop.
			_ = pause(submitting, time.Duration(answer.Error.RetryAfterMS)*time.Millisecond)
		}
	}
	return nil
}

// pause waits for d, and returns an error when ctx is done before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func (s LoadSettings) post(client *http.Client, path, key string, body []byte, answer any) error {
	request, err := http.NewRequest(http.MethodPost, "http://"+s.entry+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, answer)
}

func (r *LoadResult) add(tasks int, answer *loadAnswer, took time.Duration) {
	finished := 0
	for _, t := range answer.Tasks {
		if t.Outcome == "finished" {
			finished++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answer.Error != nil:
		r.refusals++
	case answer.State == "complete" && finished == tasks:
		r.jobs++
		r.tasks += tasks
		// Values beyond the histogram's range don't occur: an entry answers after five minutes at the latest.
		_ = r.latency.RecordValue(min(took.Microseconds(), maxLatency))
	default:
		r.wrong++
		if r.firstWrong == "" {
			r.firstWrong = fmt.Sprintf("%s with %d of %d tasks finished", answer.State, finished, tasks)
		}
	}
}
