package hibiscusprotocol

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The callers' HTTP interface: submission keys, jobs, answers, cancellations. docs/api.md describes it for callers.

const (
	// maxBodyBytes bounds the body of a submission.
	maxBodyBytes = 8 << 20
	// maxPayloadBytes bounds the payload of one task; payloads are held in memory until the job's record is evicted.
	maxPayloadBytes = 1 << 20
	// maxListedTasks bounds the tasks of a job before it is decoded; admission has a lower bound.
	maxListedTasks = 16_384
	// maxMilliseconds bounds the times in a submission to a day; larger ones would overflow a time.Duration.
	maxMilliseconds = 24 * 60 * 60 * 1000
	// maxKeysPerRequest bounds a batch of submission keys.
	maxKeysPerRequest = 1000
	// maxWait bounds how long a request waits for an answer; the caller may repeat the request.
	maxWait = 5 * time.Minute
	// stateTimeout is how long the entry may take to return the state of a job after the caller's wait has expired. A forward
	// to another entry needs a round trip; a recovery from the agents needs a second until the job's entry is considered
	// stopped, and a second for the agents' answers.
	stateTimeout = 2500 * time.Millisecond
	// keyHeader carries the submission key.
	keyHeader = "Idempotency-Key"
)

// CallerAPI serves the HTTP interface for callers.
type CallerAPI struct {
	signer *hibiscusstate.KeySigner
	submit func(s *hibiscuscoordination.Submission, reply func(*hibiscuscoordination.Answer)) error
	issue  func(n int) ([]hibiscusstate.SubmissionKey, error)
	ready  func() bool
	// refusals counts the refusals of these handlers, which the entry's event loop does not count.
	refusals [hibiscusstate.RefusalOutcomeUnknown + 1]atomic.Uint64
}

// NewCallerAPI returns the handlers of an entry: submit routes a submission, issue returns fresh keys, and ready reports
// whether the load balancer should send callers here.
func NewCallerAPI(
	signer *hibiscusstate.KeySigner,
	submit func(s *hibiscuscoordination.Submission, reply func(*hibiscuscoordination.Answer)) error,
	issue func(n int) ([]hibiscusstate.SubmissionKey, error),
	ready func() bool,
) *CallerAPI {
	return &CallerAPI{signer: signer, submit: submit, issue: issue, ready: ready}
}

// Refused returns how many requests the handlers refused for a reason, without those that the entry's event loop refused.
func (c *CallerAPI) Refused(r hibiscusstate.Refusal) uint64 { return c.refusals[r].Load() }

// Mount adds the routes to a router.
func (c *CallerAPI) Mount(r chi.Router) {
	r.Post("/v1/keys", c.postKeys)
	r.Post("/v1/jobs", c.postJob)
	r.Get("/v1/jobs/{key}", c.getJob)
	r.Delete("/v1/jobs/{key}", c.deleteJob)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, healthBody{Status: "ok"}) })
	r.Get("/readyz", c.getReady)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) { writeNoRoute(w, r, http.StatusNotFound) })
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) { writeNoRoute(w, r, http.StatusMethodNotAllowed) })
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
	DeadlineMS *int64        `json:"deadline_ms"`
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
	if !readJSON(w, r, &request, c.refuse) {
		return
	}
	if request.Count < 1 || request.Count > maxKeysPerRequest {
		c.refuse(w, hibiscusstate.RefusalBadRequest, fmt.Sprintf("count must be between 1 and %d", maxKeysPerRequest))
		return
	}
	keys, err := c.issue(request.Count)
	if err != nil {
		c.refuse(w, hibiscusstate.RefusalDraining, "this entry is stopping; send the request again through the balancer")
		return
	}
	body := keysBody{SubmissionKeys: make([]string, len(keys))}
	for i, k := range keys {
		body.SubmissionKeys[i] = c.signer.Format(k)
	}
	writeJSON(w, http.StatusOK, body)
}

func (c *CallerAPI) postJob(w http.ResponseWriter, r *http.Request) {
	key, ok := c.headerKey(w, r)
	if !ok {
		return
	}
	body, ok := readBody(w, r, maxBodyBytes, c.refuse)
	if !ok {
		return
	}
	var request jobRequest
	if HasLongList(body, maxListedTasks) {
		c.refuse(w, hibiscusstate.RefusalTooManyTasks, fmt.Sprintf("the job has more than %d tasks", maxListedTasks))
		return
	}
	if !decodeJSON(w, body, &request, c.refuse) || !c.checkTimes(w, &request) || !c.checkTasks(w, request.Tasks) {
		return
	}
	tasks := make([]hibiscusstate.TaskSpec, len(request.Tasks))
	for i, t := range request.Tasks {
		tasks[i] = hibiscusstate.NewTaskSpec(t.Kind, t.Payload, milliseconds(t.RunMS))
	}
	// The digest covers the body as received, so that any difference in a resubmission is detected.
	digest := sha256.Sum256(body)
	// The body is decoded; its memory is available to other requests while the job runs.
	r.Body.Close()
	s := hibiscuscoordination.NewSubmission(key, binary.BigEndian.Uint64(digest[:]), request.Team, request.Service, tasks).
		WithAttempt(request.Attempt).WithWait(maxWait)
	if request.DeadlineMS != nil {
		s.WithBudget(milliseconds(*request.DeadlineMS))
	}
	if request.WaitMS != nil {
		s.WithWait(clampWait(*request.WaitMS))
	}
	c.serve(w, r, s)
}

// checkTimes refuses times out of range; a missing deadline differs from a deadline of zero.
func (c *CallerAPI) checkTimes(w http.ResponseWriter, request *jobRequest) bool {
	switch {
	case request.DeadlineMS != nil && *request.DeadlineMS <= 0:
		c.refuse(w, hibiscusstate.RefusalDeadlinePassed,
			fmt.Sprintf("deadline_ms is %d; give the milliseconds from now until the answer is of no more use, or leave it out",
				*request.DeadlineMS))
	case request.DeadlineMS != nil && *request.DeadlineMS > maxMilliseconds:
		c.refuse(w, hibiscusstate.RefusalBadRequest,
			fmt.Sprintf("deadline_ms is counted from now, not from 1970, and is at most %d", maxMilliseconds))
	case request.WaitMS != nil && *request.WaitMS < 0:
		c.refuse(w, hibiscusstate.RefusalBadRequest, "wait_ms is negative; give 0 to get the state of the job at once")
	case request.Attempt < 0:
		c.refuse(w, hibiscusstate.RefusalBadRequest, "attempt is negative; give 1 for the first try, or leave it out")
	default:
		return true
	}
	return false
}

func (c *CallerAPI) checkTasks(w http.ResponseWriter, tasks []taskRequest) bool {
	for i, t := range tasks {
		if t.RunMS < 0 || t.RunMS > maxMilliseconds {
			c.refuse(w, hibiscusstate.RefusalBadRequest,
				fmt.Sprintf("task %d: run_ms is %d; give 0 to %d, or leave it out", i, t.RunMS, maxMilliseconds))
			return false
		}
		if len(t.Payload) > maxPayloadBytes {
			c.refuse(w, hibiscusstate.RefusalBodyTooLarge,
				fmt.Sprintf("task %d: the payload has %d bytes, at most %d are taken; send a reference to the data instead",
					i, len(t.Payload), maxPayloadBytes))
			return false
		}
	}
	return true
}

func clampWait(ms int64) time.Duration { return milliseconds(min(ms, maxWait.Milliseconds())) }

func (c *CallerAPI) getJob(w http.ResponseWriter, r *http.Request) {
	key, ok := c.pathKey(w, r)
	if !ok {
		return
	}
	if wait, ok := c.queryWait(w, r, 0); ok {
		c.serve(w, r, hibiscuscoordination.NewFetch(key).WithWait(wait))
	}
}

func (c *CallerAPI) deleteJob(w http.ResponseWriter, r *http.Request) {
	key, ok := c.pathKey(w, r)
	if !ok {
		return
	}
	if wait, ok := c.queryWait(w, r, maxWait); ok {
		c.serve(w, r, hibiscuscoordination.NewCancel(key).WithWait(wait))
	}
}

// queryWait returns wait_ms of the query or a default; for an invalid value it writes the refusal and returns false.
func (c *CallerAPI) queryWait(w http.ResponseWriter, r *http.Request, defaultWait time.Duration) (time.Duration, bool) {
	text := r.URL.Query().Get("wait_ms")
	if text == "" {
		return defaultWait, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		c.refuse(w, hibiscusstate.RefusalBadRequest, "wait_ms must be a number of milliseconds, 0 for the state at once")
		return 0, false
	}
	return clampWait(ms), true
}

func (c *CallerAPI) headerKey(w http.ResponseWriter, r *http.Request) (hibiscusstate.SubmissionKey, bool) {
	text := r.Header.Get(keyHeader)
	if text == "" {
		c.refuse(w, hibiscusstate.RefusalKeyNotIssued, "the "+keyHeader+" header is missing; get a key from POST /v1/keys")
		return hibiscusstate.SubmissionKey{}, false
	}
	return c.parseKey(w, text)
}

func (c *CallerAPI) pathKey(w http.ResponseWriter, r *http.Request) (hibiscusstate.SubmissionKey, bool) {
	return c.parseKey(w, chi.URLParam(r, "key"))
}

func (c *CallerAPI) parseKey(w http.ResponseWriter, text string) (hibiscusstate.SubmissionKey, bool) {
	key, err := c.signer.Parse(text)
	if err != nil {
		c.refuse(w, hibiscusstate.RefusalKeyNotIssued,
			"this deployment did not issue the submission key; get one from POST /v1/keys")
		return key, false
	}
	return key, true
}

// serve routes a submission and writes its answer, or the state of the job if there is no answer within the caller's wait.
func (c *CallerAPI) serve(w http.ResponseWriter, r *http.Request, s *hibiscuscoordination.Submission) {
	a, err := c.submitAndWait(r.Context(), s, s.Wait())
	if err == nil && a == nil {
		// The job may be running, or its entry may not have responded: fetch the state.
		a, err = c.submitAndWait(r.Context(), hibiscuscoordination.NewFetch(s.Key()), stateTimeout)
	}
	switch {
	case errors.Is(err, hibiscuscoordination.ErrStopped):
		c.refuse(w, hibiscusstate.RefusalDraining, "this entry is stopping; send the request again through the balancer")
	case err != nil:
		// The caller has disconnected.
	case a == nil:
		c.refusals[hibiscusstate.RefusalOutcomeUnknown].Add(1)
		writeRefusalAnswer(w, hibiscuscoordination.NewRefusal(s.Key(), hibiscusstate.RefusalOutcomeUnknown, false,
			"the state of the job could not be told in time; send the request again with the same key"))
	default:
		c.writeAnswer(w, a)
	}
}

// submitAndWait routes a submission and waits for its answer, at most for wait; it returns nil without an error after a timeout.
func (c *CallerAPI) submitAndWait(
	ctx context.Context, s *hibiscuscoordination.Submission, wait time.Duration,
) (*hibiscuscoordination.Answer, error) {
	answers := hibiscusstate.NewRing[*hibiscuscoordination.Answer](1)
	if err := c.submit(s, func(a *hibiscuscoordination.Answer) { answers.TryPush(a) }); err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, answers.Close)
	defer stop()
	var one [1]*hibiscuscoordination.Answer
	if s.Wait() == 0 {
		wait = stateTimeout
	}
	if _, err := answers.PopBatch(one[:], wait); err != nil {
		return nil, err
	}
	return one[0], nil
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

// refuse counts and writes a refusal of a request that is certain not to run.
func (c *CallerAPI) refuse(w http.ResponseWriter, refusal hibiscusstate.Refusal, message string) {
	c.refusals[refusal].Add(1)
	writeRefusal(w, refusal, message)
}

// writeRefusal writes a refusal of a request that is certain not to run.
func writeRefusal(w http.ResponseWriter, refusal hibiscusstate.Refusal, message string) {
	writeRefusalAnswer(w, hibiscuscoordination.NewRefusal(hibiscusstate.SubmissionKey{}, refusal, true, message))
}

// writeNoRoute responds to a request for a path or method that the process does not serve.
func writeNoRoute(w http.ResponseWriter, r *http.Request, status int) {
	writeJSON(w, status, errorBody{Error: errorDetail{
		Code:    hibiscusstate.RefusalBadRequest.String(),
		Message: fmt.Sprintf("%s %s is not served here; docs/api.md lists the paths", r.Method, r.URL.Path),
		Run:     hibiscusstate.OutcomeNotRun.String(),
	}})
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
