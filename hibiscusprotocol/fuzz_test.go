package hibiscusprotocol

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// Bytes from outside: whatever they are, they give an error or something that holds together. The seeds run with the other
// tests; go test -fuzz=NAME searches on.

var fuzzKey = hibiscusstate.NewSubmissionKey(1, 2)

// FuzzDecodeFrame guards against frames that crash a process, and against ones that change when they are encoded again.
func FuzzDecodeFrame(f *testing.F) {
	try := hibiscusstate.NewTaskAttempt(hibiscusstate.NewTaskID(fuzzKey, 3), 1)
	order := hibiscusstate.NewOrder(try, 4, 5, "check", []byte("{}")).WithBudget(time.Second).WithLeaseEpoch(1).WithWait(time.Millisecond)
	task := hibiscusstate.NewTaskSpec("check", []byte("{}"), time.Second)
	for _, m := range []hibiscuscoordination.Message{
		hibiscuscoordination.NewHelloMessage(hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, 1, "10.0.0.1:1", "a", 1,
			hibiscuscoordination.NewCapacity("checks", 8, true, 2))),
		hibiscuscoordination.NewPingMessage(),
		hibiscuscoordination.NewOrdersMessage([]hibiscusstate.Order{order}),
		hibiscuscoordination.NewReportsMessage([]hibiscusstate.Report{
			hibiscusstate.NewRejection(try, hibiscusstate.RejectionSealed),
			hibiscusstate.NewResult(try, hibiscusstate.OutcomeFinished, []byte("1"), "", time.Second).WithJob(4, 5).WithLoad(1, 2, 3),
		}),
		hibiscuscoordination.NewSettleMessage([]hibiscusstate.TaskAttempt{try}),
		hibiscuscoordination.NewRecoverMessage(9, fuzzKey),
		hibiscuscoordination.NewForwardMessage(9, hibiscuscoordination.NewSubmission(fuzzKey, 1, "team", "checks",
			[]hibiscusstate.TaskSpec{task}).WithWait(time.Second)),
		hibiscuscoordination.NewForwardedMessage(9, hibiscuscoordination.NewJobAnswer(fuzzKey, hibiscusstate.JobFailed,
			[]hibiscuscoordination.TaskAnswer{hibiscuscoordination.NewTaskAnswer(hibiscusstate.OutcomeNotRun, nil, "late")})),
		hibiscuscoordination.NewMembersMessage([]hibiscuscoordination.Member{hibiscuscoordination.NewMember(1, "10.0.0.1:1", "a", 7)}),
	} {
		b, err := EncodeFrame(nil, m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeFrame(b)
		if err != nil {
			return
		}
		first, err := EncodeFrame(nil, m)
		if err != nil {
			return // A name that is not UTF-8 decodes as bytes of a string and is refused on the way out.
		}
		again, err := DecodeFrame(first)
		if err != nil {
			t.Fatalf("decoded frame can't be decoded again: %v", err)
		}
		second, err := EncodeFrame(nil, again)
		if err != nil || !bytes.Equal(first, second) {
			t.Fatalf("frame changes when it is encoded again: %x, then %x, %v", first, second, err)
		}
	})
}

// FuzzParseText guards against operators' texts that crash an entry, or that are taken and have no document.
func FuzzParseText(f *testing.F) {
	f.Add([]byte("services:\n  - name: a\n    depends_on: [b]\n    kinds:\n      - {name: k, run_ms: 80}\nteams:\n  - {name: t, share: 60}\n"))
	f.Add([]byte("services: [{name: a, kinds: [{name: k, deadline_ms: -1}]}]"))
	f.Add([]byte("services: *x"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if d, err := ParseConfiguration("text", text); err == nil && d == nil {
			t.Fatal("a text without error has no document")
		}
	})
}

// FuzzSettings guards against settings that crash a process, or that are taken without what the process needs.
func FuzzSettings(f *testing.F) {
	f.Add([]byte("caller_address: 10.0.0.1:1\nsession_address: 10.0.0.1:2\nfailure_domain: a\nshared_key: 0123456789abcdef\n"))
	f.Add([]byte("endpoint_address: 10.0.0.1:1\nfailure_domain: a\nshared_key: 0123456789abcdef\nseed_entries: [10.0.0.1:2]\n"))
	f.Add([]byte("shared_key: [\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := ParseEntrySettings("entry", text); err == nil && (len(s.SharedKey()) < minSharedKeyBytes || s.SessionAddress() == "") {
			t.Fatal("entry settings without a key or an address were taken")
		}
		if s, err := ParseAgentSettings("agent", text); err == nil && (len(s.SharedKey()) < minSharedKeyBytes || s.EndpointAddress() == "") {
			t.Fatal("agent settings without a key or an address were taken")
		}
	})
}

// FuzzJobBody guards against bodies that crash an entry, that get an answer which is no JSON, or that are passed on when
// they are none.
func FuzzJobBody(f *testing.F) {
	f.Add([]byte(`{"team":"t","service":"s","deadline_ms":5,"attempt":2,"wait_ms":0,"tasks":[{"kind":"k","run_ms":1,"payload":{}}]}`))
	f.Add([]byte(`{"deadline_ms":9223372036854775807,"wait_ms":-9223372036854775808,"tasks":[{},{}]}`))
	f.Add([]byte(`{"tasks":{}}`))
	f.Add([]byte(`{"tasks":[`))
	signer := hibiscusstate.NewKeySigner([]byte("0123456789abcdef"))
	f.Fuzz(func(t *testing.T, body []byte) {
		passed := false
		api := NewCallerAPI(signer, func(s *hibiscuscoordination.Submission, reply func(*hibiscuscoordination.Answer)) error {
			passed = true
			if s.Wait() < 0 || s.Budget() < 0 {
				t.Fatalf("a wait of %v and a budget of %v were passed on", s.Wait(), s.Budget())
			}
			reply(hibiscuscoordination.NewJobAnswer(s.Key(), hibiscusstate.JobRunning, nil))
			return nil
		}, nil, func() bool { return true })
		r := chi.NewRouter()
		api.Mount(r)
		request := httptest.NewRequest(http.MethodPost, "/v1/jobs", bytes.NewReader(body))
		request.Header.Set(keyHeader, signer.Format(fuzzKey))
		w := httptest.NewRecorder()
		r.ServeHTTP(w, request)
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("the answer is not JSON: %q", w.Body.String())
		}
		if passed && !json.Valid(body) {
			t.Fatalf("a body that is not JSON was passed on: %q", body)
		}
	})
}

// FuzzEndpointBody guards against announcements that crash an agent or are taken without address or slots.
func FuzzEndpointBody(f *testing.F) {
	f.Add([]byte(`{"service":"s","address":"10.0.0.1:1","slots":8,"connections":64}`))
	f.Add([]byte(`{"service":"s","address":"x","slots":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		api := NewEndpointAPI(http.DefaultClient, func(service string, room hibiscusstate.Resources) error {
			if service == "" || room.Slots() < 1 {
				t.Fatalf("service %q with %d slots was taken", service, room.Slots())
			}
			return nil
		}, nil)
		r := chi.NewRouter()
		api.Mount(r)
		w := httptest.NewRecorder()
		r.ServeHTTP(w, httptest.NewRequest(http.MethodPut, "/v1/endpoint", bytes.NewReader(body)))
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("the answer is not JSON: %q", w.Body.String())
		}
	})
}
