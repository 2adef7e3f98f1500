package hibiscusprotocol_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstandin"
	"hibiscusrouter/hibiscusstate"
)

const (
	platformAddress    = "10.0.0.1:7000"
	smallConfiguration = `services: [{name: photo, kinds: [{name: match, idempotent: true, run_ms: 10, deadline_ms: 100}]}]
teams: [{name: nokkhao, share: 60, max_queued: 20000}]
`
)

// tableHarness is a table client and the platform's stand-in in a synctest bubble, with a transcript.
type tableHarness struct {
	t            *testing.T
	platform     *hibiscusstandin.Platform
	table        *hibiscusprotocol.TableClient
	dropWrites   int
	onAnswerLost func()
	transcript   strings.Builder
	close        func()
}

func newTableHarness(t *testing.T) *tableHarness {
	network := hibiscusstandin.NewMemoryNetwork(time.Millisecond)
	l, err := network.Listen(platformAddress)
	if err != nil {
		t.Fatal(err)
	}
	b := &tableHarness{t: t, platform: hibiscusstandin.NewPlatform(), onAnswerLost: func() {}}
	handler := b.platform.Handler()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			if lost := recover(); lost != nil {
				b.onAnswerLost()
				panic(lost)
			}
		}()
		handler.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}}
	b.table = hibiscusprotocol.NewTableClient(&http.Client{Transport: b.dropRequests(transport)}, platformAddress)
	b.close = func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	}
	return b
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// dropRequests returns a transport that drops the next b.dropWrites writes before they reach the platform.
func (b *tableHarness) dropRequests(next http.RoundTripper) http.RoundTripper {
	return roundTripper(func(r *http.Request) (*http.Response, error) {
		if r.Method != http.MethodGet && b.dropWrites > 0 {
			b.dropWrites--
			return nil, io.ErrUnexpectedEOF
		}
		return next.RoundTrip(r)
	})
}

func (b *tableHarness) logf(format string, args ...any) {
	fmt.Fprintf(&b.transcript, format+"\n", args...)
}

// recordWrite makes one write and records its result, the number of applied writes and the duration in the transcript.
func (b *tableHarness) recordWrite(name string, write func(ctx context.Context) (string, error)) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	before, start := b.platform.Writes(), time.Now()
	result, err := write(ctx)
	if err != nil {
		result = "error: " + err.Error()
	}
	b.logf("  %s: %s; %d writes took effect, %d ms", name, result, b.platform.Writes()-before, time.Since(start).Milliseconds())
}

func (b *tableHarness) rows(prefix string) int {
	rows, err := b.table.Rows(context.Background(), prefix, "", 100)
	if err != nil {
		return -1
	}
	return len(rows)
}

// runEveryWrite makes each kind of write of the system; before each it calls fault with the number of requests of the write.
func (b *tableHarness) runEveryWrite(fault func(writes int)) {
	configurations := hibiscusprotocol.NewConfigurationStore(b.table)
	audit := hibiscusprotocol.NewAuditStore(b.table, slog.New(slog.DiscardHandler))
	members := hibiscusprotocol.NewMemberStore(b.table, slog.New(slog.DiscardHandler))
	document, err := hibiscusprotocol.ParseConfiguration("test", []byte(smallConfiguration))
	if err != nil {
		b.t.Fatal(err)
	}
	for base := range uint64(2) {
		fault(1)
		b.recordWrite("accept a configuration", func(ctx context.Context) (string, error) {
			edit := hibiscuscoordination.NewEdit(base, smallConfiguration, document, "operator Asha", "10.0.9.1")
			c, err := configurations.Accept(ctx, time.Now(), edit, "test")
			if err != nil {
				return "", err
			}
			return fmt.Sprintf("version %d, %d version rows, %d audit rows",
				c.Version(), b.rows("configuration/versions/"), b.rows("audit/")), nil
		})
	}
	member := func() hibiscuscoordination.MemberRow {
		rows, err := members.List(context.Background())
		if err != nil || len(rows) != 1 {
			return hibiscuscoordination.NewMemberRow(hibiscuscoordination.NewMember(7, "10.0.1.1:7200", "a", 0), 0)
		}
		return rows[0]
	}
	for heartbeat := range uint64(2) {
		row := member()
		fault(1)
		b.recordWrite("write a member row", func(ctx context.Context) (string, error) {
			m := hibiscuscoordination.NewMember(hibiscusstate.Incarnation(7), "10.0.1.1:7200", "a", heartbeat+1)
			err := members.Put(ctx, hibiscuscoordination.NewMemberRow(m, row.Version()))
			return fmt.Sprintf("heartbeat %d", member().Member().Heartbeat()), err
		})
	}
	row := member()
	fault(1)
	b.recordWrite("remove a member row", func(ctx context.Context) (string, error) {
		err := members.Remove(ctx, row)
		return fmt.Sprintf("%d member rows", b.rows("members/")), err
	})
	fault(1)
	b.recordWrite("write a batch of audit entries", func(ctx context.Context) (string, error) {
		entry := hibiscuscoordination.NewAuditEntry(time.Now(), "entry", "10.0.1.1:7200", "worker_out", 0, 0)
		err := audit.Write(ctx, []hibiscuscoordination.AuditEntry{entry, entry})
		return fmt.Sprintf("%d audit rows", b.rows("audit/")), err
	})
	fault(2)
	b.recordWrite("move old audit entries to the object store", func(ctx context.Context) (string, error) {
		n, err := audit.Archive(ctx, time.Now().Add(time.Hour))
		entries, readErr := audit.Read(context.Background(), 100)
		return fmt.Sprintf("%d moved, %d rows left, %d entries in the trail", n, b.rows("audit/"), len(entries)),
			errors.CombineErrors(err, readErr)
	})
}

// TestEveryWriteOnce guards against a write that is applied twice, not at all, or reported as failed although it was applied:
// when the response is lost, when the table service is then down for 3 s, and when the request itself is lost.
func TestEveryWriteOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all strings.Builder
		for _, fault := range []struct {
			name string
			set  func(b *tableHarness, writes int)
		}{
			{"no fault", func(*tableHarness, int) {}},
			{"the answer is lost", func(b *tableHarness, writes int) { b.platform.LoseAnswers(writes) }},
			{"the answer is lost and the table is down for 3 s", func(b *tableHarness, writes int) {
				b.platform.LoseAnswers(writes)
				b.onAnswerLost = func() {
					b.platform.SetOutage(true)
					time.AfterFunc(3*time.Second, func() { b.platform.SetOutage(false) })
				}
			}},
			{"the request is lost", func(b *tableHarness, writes int) { b.dropWrites = writes }},
		} {
			b := newTableHarness(t)
			b.logf("%s:", fault.name)
			b.runEveryWrite(func(writes int) {
				time.Sleep(4 * time.Second)
				fault.set(b, writes)
			})
			b.close()
			all.WriteString(b.transcript.String())
		}
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "every_write", []byte(all.String()))
	})
}
