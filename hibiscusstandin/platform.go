package hibiscusstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// The Platform is a transactional table service and an object store on HTTP, with the faults that the users name: outage,
// slowness, and answers that are lost after the write took effect.
//
// A transaction carries a unique change id, conditions on row versions and writes; it takes effect whole or not at all.
// Row versions come from one counter, so that a row that is deleted and written again never has an earlier version again.
// The same change id takes effect once, and GET /v1/changes/{id} says whether it did.

const (
	maxBodyBytes = 8 << 20
	maxChanges   = 100_000
)

// Platform is the stand-in; it is safe for concurrent use.
type Platform struct {
	mu       sync.Mutex
	rows     map[string]row
	objects  map[string][]byte
	changes  map[string]bool
	order    []string
	version  uint64
	faults   faultsBody
	counters countersBody
}

type row struct {
	value   string
	version uint64
}

type rowBody struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Version uint64 `json:"version"`
}

type rowsBody struct {
	Rows []rowBody `json:"rows"`
}

type transactionRequest struct {
	ChangeID string         `json:"change_id"`
	Checks   []checkRequest `json:"checks"`
	Writes   []writeRequest `json:"writes"`
}

type checkRequest struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type writeRequest struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Delete bool   `json:"delete"`
}

type transactionBody struct {
	Applied   bool      `json:"applied"`
	Conflicts []rowBody `json:"conflicts,omitempty"`
}

type changeBody struct {
	Applied bool `json:"applied"`
}

// faultsBody switches faults: outage refuses everything, delay_ms slows everything, and lose_answers is how many of the
// next writes take effect without an answer.
type faultsBody struct {
	Outage      bool  `json:"outage"`
	DelayMS     int64 `json:"delay_ms"`
	LoseAnswers int   `json:"lose_answers"`
}

type countersBody struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	RowsWritten uint64 `json:"rows_written"`
	Refused     uint64 `json:"refused"`
}

// NewPlatform returns an empty platform without faults.
func NewPlatform() *Platform {
	return &Platform{rows: map[string]row{}, objects: map[string][]byte{}, changes: map[string]bool{}}
}

// Handler returns the HTTP interface of the platform.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/v1/faults", p.putFaults)
	r.Get("/v1/counters", p.getCounters)
	r.Group(func(r chi.Router) {
		r.Use(p.injectFaults)
		r.Post("/v1/transactions", p.postTransaction)
		r.Get("/v1/changes/{id}", p.getChange)
		r.Get("/v1/rows", p.getRows)
		r.Get("/v1/objects", p.getObjects)
		r.Get("/v1/objects/*", p.getObject)
		r.Put("/v1/objects/*", p.putObject)
	})
	return r
}

// SetOutage makes the platform refuse everything, or stop doing so.
func (p *Platform) SetOutage(outage bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Outage = outage
}

// SetDelay makes every request take at least d.
func (p *Platform) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.DelayMS = d.Milliseconds()
}

// LoseAnswers makes the next n writes take effect without an answer.
func (p *Platform) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.LoseAnswers = n
}

// Writes returns the number of transactions and object writes that took effect.
func (p *Platform) Writes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters.Writes
}

// Reads returns the number of reads that were answered.
func (p *Platform) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters.Reads
}

// injectFaults applies outage and slowness.
func (p *Platform) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		faults := p.faults
		if faults.Outage {
			p.counters.Refused++
		}
		p.mu.Unlock()
		if faults.DelayMS > 0 {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(faults.DelayMS) * time.Millisecond):
			}
		}
		if faults.Outage {
			http.Error(w, "the platform is down", http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// answerWrite writes the answer to a write, or drops the connection when answers are to be lost.
func (p *Platform) answerWrite(w http.ResponseWriter, status int, body any) {
	p.mu.Lock()
	lose := p.faults.LoseAnswers > 0
	if lose {
		p.faults.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, body)
}

func (p *Platform) postTransaction(w http.ResponseWriter, r *http.Request) {
	var request transactionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if request.ChangeID == "" {
		http.Error(w, "change_id is missing", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	body := p.apply(request)
	p.mu.Unlock()
	status := http.StatusOK
	if !body.Applied {
		status = http.StatusConflict
	}
	p.answerWrite(w, status, body)
}

// apply carries out a transaction whole or not at all; the caller holds the lock.
func (p *Platform) apply(request transactionRequest) transactionBody {
	if p.changes[request.ChangeID] {
		return transactionBody{Applied: true}
	}
	var conflicts []rowBody
	for _, check := range request.Checks {
		if current := p.rows[check.Key]; current.version != check.Version {
			conflicts = append(conflicts, rowBody{Key: check.Key, Value: current.value, Version: current.version})
		}
	}
	if len(conflicts) > 0 {
		return transactionBody{Conflicts: conflicts}
	}
	p.version++
	for _, write := range request.Writes {
		if write.Delete {
			delete(p.rows, write.Key)
			continue
		}
		p.rows[write.Key] = row{value: write.Value, version: p.version}
	}
	p.counters.Writes++
	p.counters.RowsWritten += uint64(len(request.Writes))
	p.rememberChange(request.ChangeID)
	return transactionBody{Applied: true}
}

func (p *Platform) rememberChange(id string) {
	p.changes[id] = true
	p.order = append(p.order, id)
	if len(p.order) > maxChanges {
		delete(p.changes, p.order[0])
		p.order = p.order[1:]
	}
}

func (p *Platform) getChange(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counters.Reads++
	applied := p.changes[chi.URLParam(r, "id")]
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, changeBody{Applied: applied})
}

func (p *Platform) getRows(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after := r.URL.Query().Get("after")
	// A missing or bad limit reads as zero, which stands for no limit.
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	p.mu.Lock()
	p.counters.Reads++
	body := rowsBody{Rows: []rowBody{}}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			body.Rows = append(body.Rows, rowBody{Key: key, Value: row.value, Version: row.version})
		}
	}
	p.mu.Unlock()
	slices.SortFunc(body.Rows, func(a, b rowBody) int { return strings.Compare(a.Key, b.Key) })
	if r.URL.Query().Get("order") == "descending" {
		slices.Reverse(body.Rows)
	}
	if limit > 0 && len(body.Rows) > limit {
		body.Rows = body.Rows[:limit]
	}
	writeJSON(w, http.StatusOK, body)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[chi.URLParam(r, "*")] = content
	p.counters.Writes++
	p.mu.Unlock()
	p.answerWrite(w, http.StatusOK, changeBody{Applied: true})
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.counters.Reads++
	content, ok := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	if _, err := w.Write(content); err != nil {
		return
	}
}

type objectsBody struct {
	Names []string `json:"names"`
}

func (p *Platform) getObjects(w http.ResponseWriter, r *http.Request) {
	body := objectsBody{Names: []string{}}
	p.mu.Lock()
	p.counters.Reads++
	for name := range p.objects {
		if strings.HasPrefix(name, r.URL.Query().Get("prefix")) {
			body.Names = append(body.Names, name)
		}
	}
	p.mu.Unlock()
	slices.Sort(body.Names)
	writeJSON(w, http.StatusOK, body)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults faultsBody
	if !readJSON(w, r, &faults) {
		return
	}
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, faults)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	counters := p.counters
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, counters)
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		return
	}
}
