package hibiscusprotocol

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The callers' HTTP interface: keys, jobs, answers, cancellations. docs/api.md describes it for callers.

const (
	// maxBodyBytes bounds the body of a submission.
	maxBodyBytes = 8 << 20
	// maxKeysPerRequest bounds a batch of submission keys.
	maxKeysPerRequest = 1000
	// maxWait bounds how long a request waits for an answer; the caller may ask again.
	maxWait = 5 * time.Minute
	// minAnswerWait is how long the dispatch duty may take to say the state of a job; a forward to another entry needs a
	// round trip.
	minAnswerWait = time.Second
	// keyHeader carries the submission key.
	keyHeader = "Idempotency-Key"
)

// CallerAPI serves callers.
type CallerAPI struct {
	signer *hibiscusstate.KeySigner
	submit func(s *hibiscuscoordination.Submission, reply func(*hibiscuscoordination.Answer)) error
	issue  func(n int) ([]hibiscusstate.SubmissionKey, error)
	ready  func() bool
}

// NewCallerAPI returns the handlers of an entry: submit routes a submission, issue returns fresh keys, and ready says
// whether the balancer should send callers here.
func NewCallerAPI(
	signer *hibiscusstate.KeySigner,
	submit func(s *hibiscuscoordination.Submission, reply func(*hibiscuscoordination.Answer)) error,
	issue func(n int) ([]hibiscusstate.SubmissionKey, error),
	ready func() bool,
) *CallerAPI {
	return &CallerAPI{signer: signer, submit: submit, issue: issue, ready: ready}
}

// Mount adds the routes to a router.
func (c *CallerAPI) Mount(r chi.Router) {
	r.Post("/v1/keys", c.postKeys)
	r.Post("/v1/jobs", c.postJob)
	r.Get("/v1/jobs/{key}", c.getJob)
	r.Delete("/v1/jobs/{key}", c.deleteJob)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, healthBody{Status: "ok"}) })
	r.Get("/readyz", c.getReady)
}

type healthBody struct {
	Status string `json:"status"`
}

type keysRequest struct {
	Count int `json:"count"`
}

type keysBody struct {
	SubmissionKeys []string `json:"submission_keys"`
}

type jobRequest struct {
	Team       string        `json:"team"`
	Service    string        `json:"service"`
	DeadlineMS int64         `json:"deadline_ms"`
	Attempt    int           `json:"attempt"`
	WaitMS     *int64        `json:"wait_ms"`
	Tasks      []taskRequest `json:"tasks"`
}

type taskRequest struct {
	Kind    string          `json:"kind"`
	RunMS   int64           `json:"run_ms"`
	Payload json.RawMessage `json:"payload"`
}

type jobBody struct {
	Key     string     `json:"submission_key"`
	State   string     `json:"state"`
	Tasks   []taskBody `json:"tasks,omitempty"`
	NextKey string     `json:"next_key,omitempty"`
}

type taskBody struct {
	Outcome string          `json:"outcome"`
	Output  json.RawMessage `json:"output,omitempty"`
	Reason  string          `json:"reason,omitempty"`
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code         string `json:"code"`
	Message      string `json:"message"`
	Run          string `json:"run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

func (c *CallerAPI) getReady(w http.ResponseWriter, _ *http.Request) {
	writeReady(w, c.ready())
}

func (c *CallerAPI) postKeys(w http.ResponseWriter, r *http.Request) {
	request := keysRequest{Count: 1}
	if !readJSON(w, r, &request) {
		return
	}
	if request.Count < 1 || request.Count > maxKeysPerRequest {
		writeRefusal(w, hibiscusstate.RefusalBadRequest, fmt.Sprintf("count must be between 1 and %d", maxKeysPerRequest))
		return
	}
	keys, err := c.issue(request.Count)
	if err != nil {
		writeRefusal(w, hibiscusstate.RefusalDraining, "this entry is stopping; ask again through the balancer")
		return
	}
	body := keysBody{SubmissionKeys: make([]string, len(keys))}
	for i, k := range keys {
		body.SubmissionKeys[i] = c.signer.Format(k)
	}
	writeJSON(w, http.StatusOK, body)
}

func (c *CallerAPI) postJob(w http.ResponseWriter, r *http.Request) {
	key, err := c.signer.Parse(r.Header.Get(keyHeader))
	if err != nil {
		writeRefusal(w, hibiscusstate.RefusalKeyNotIssued, "the "+keyHeader+" header must hold a key from POST /v1/keys")
		return
	}
	var request jobRequest
	digest := sha256.New()
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if !readJSONFrom(w, io.TeeReader(r.Body, digest), &request) {
		return
	}
	if request.DeadlineMS < 0 {
		writeRefusal(w, hibiscusstate.RefusalDeadlinePassed, "deadline_ms is in the past")
		return
	}
	tasks := make([]hibiscusstate.TaskSpec, len(request.Tasks))
	for i, t := range request.Tasks {
		tasks[i] = hibiscusstate.NewTaskSpec(t.Kind, t.Payload, milliseconds(t.RunMS))
	}
	wait := maxWait
	if request.WaitMS != nil {
		wait = min(max(milliseconds(*request.WaitMS), 0), maxWait)
	}
	s := hibiscuscoordination.NewSubmission(key, binary.BigEndian.Uint64(digest.Sum(nil)), request.Team, request.Service, tasks).
		WithBudget(milliseconds(request.DeadlineMS)).WithAttempt(request.Attempt).WithWait(wait)
	c.serve(w, r, s)
}

func (c *CallerAPI) getJob(w http.ResponseWriter, r *http.Request) {
	key, ok := c.pathKey(w, r)
	if !ok {
		return
	}
	waitMS, err := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil {
		waitMS = 0
	}
	c.serve(w, r, hibiscuscoordination.NewFetch(key).WithWait(min(max(milliseconds(waitMS), 0), maxWait)))
}

func (c *CallerAPI) deleteJob(w http.ResponseWriter, r *http.Request) {
	key, ok := c.pathKey(w, r)
	if !ok {
		return
	}
	c.serve(w, r, hibiscuscoordination.NewCancel(key).WithWait(maxWait))
}

func (c *CallerAPI) pathKey(w http.ResponseWriter, r *http.Request) (hibiscusstate.SubmissionKey, bool) {
	key, err := c.signer.Parse(chi.URLParam(r, "key"))
	if err != nil {
		writeRefusal(w, hibiscusstate.RefusalKeyNotIssued, "the path must hold a key from POST /v1/keys")
		return key, false
	}
	return key, true
}

// serve routes a submission and waits for its answer as long as the caller asked to.
func (c *CallerAPI) serve(w http.ResponseWriter, r *http.Request, s *hibiscuscoordination.Submission) {
	answers := hibiscusstate.NewRing[*hibiscuscoordination.Answer](1)
	if err := c.submit(s, func(a *hibiscuscoordination.Answer) { answers.TryPush(a) }); err != nil {
		writeRefusal(w, hibiscusstate.RefusalDraining, "this entry is stopping; ask again through the balancer")
		return
	}
	stop := context.AfterFunc(r.Context(), answers.Close)
	defer stop()
	var one [1]*hibiscuscoordination.Answer
	n, err := answers.PopBatch(one[:], max(s.Wait(), minAnswerWait))
	if err != nil {
		return
	}
	if n == 0 {
		c.writeAnswer(w, hibiscuscoordination.NewJobAnswer(s.Key(), hibiscusstate.JobRunning, nil))
		return
	}
	c.writeAnswer(w, one[0])
}

func (c *CallerAPI) writeAnswer(w http.ResponseWriter, a *hibiscuscoordination.Answer) {
	if a.Refusal() != hibiscusstate.RefusalNone {
		writeRefusalAnswer(w, a)
		return
	}
	body := jobBody{Key: c.signer.Format(a.Key()), State: a.State().String()}
	for _, t := range a.Tasks() {
		body.Tasks = append(body.Tasks, taskBody{Outcome: t.Outcome().String(), Output: t.Output(), Reason: t.Reason()})
	}
	if next, ok := a.NextKey(); ok {
		body.NextKey = c.signer.Format(next)
	}
	status := http.StatusOK
	if a.State() == hibiscusstate.JobRunning {
		status = http.StatusAccepted
	}
	writeJSON(w, status, body)
}

// writeRefusal writes a refusal that is certain to be not run.
func writeRefusal(w http.ResponseWriter, refusal hibiscusstate.Refusal, message string) {
	writeRefusalAnswer(w, hibiscuscoordination.NewRefusal(hibiscusstate.SubmissionKey{}, refusal, true, message))
}

func writeRefusalAnswer(w http.ResponseWriter, a *hibiscuscoordination.Answer) {
	detail := errorDetail{
		Code: a.Refusal().String(), Message: a.Message(), Run: hibiscusstate.OutcomeMayHaveRun.String(),
		RetryAfterMS: a.RetryAfter().Milliseconds(),
	}
	if a.NotRun() {
		detail.Run = hibiscusstate.OutcomeNotRun.String()
	}
	if a.RetryAfter() > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((a.RetryAfter()+time.Second-1)/time.Second)))
	}
	writeJSON(w, statusOfRefusal(a.Refusal()), errorBody{Error: detail})
}

func statusOfRefusal(refusal hibiscusstate.Refusal) int {
	switch refusal {
	case hibiscusstate.RefusalNone:
		return http.StatusOK
	case hibiscusstate.RefusalBadRequest, hibiscusstate.RefusalTooManyTasks, hibiscusstate.RefusalDeadlinePassed,
		hibiscusstate.RefusalKeyNotIssued, hibiscusstate.RefusalUnknownKind, hibiscusstate.RefusalUnknownTeam:
		return http.StatusBadRequest
	case hibiscusstate.RefusalUnknownService, hibiscusstate.RefusalUnknownJob:
		return http.StatusNotFound
	case hibiscusstate.RefusalBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case hibiscusstate.RefusalKeyReused:
		return http.StatusUnprocessableEntity
	case hibiscusstate.RefusalKeyExpired:
		return http.StatusGone
	case hibiscusstate.RefusalOutcomeUnknown:
		return http.StatusConflict
	case hibiscusstate.RefusalOverQuota, hibiscusstate.RefusalRetryBudget:
		return http.StatusTooManyRequests
	case hibiscusstate.RefusalQueueFull, hibiscusstate.RefusalTooLate, hibiscusstate.RefusalDependencyDown,
		hibiscusstate.RefusalNoWorkers, hibiscusstate.RefusalDraining, hibiscusstate.RefusalNotReady:
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}
