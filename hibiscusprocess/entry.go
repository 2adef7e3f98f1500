package hibiscusprocess

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

const (
	// drainPoll is how often a stopping process looks whether its work is done.
	drainPoll = 20 * time.Millisecond
	// httpGrace is how long answers that are being written may take at the end of a planned stop.
	httpGrace = 10 * time.Second
)

// Entry is one entry process.
type Entry struct {
	settings hibiscusprotocol.EntrySettings
	duty     *hibiscuscoordination.Entry
	network  hibiscustransport.Network
	log      *slog.Logger
}

// NewEntry returns an entry process that has not started; its incarnation must be new and random.
func NewEntry(
	settings hibiscusprotocol.EntrySettings, incarnation hibiscusstate.Incarnation,
	network hibiscustransport.Network, log *slog.Logger,
) *Entry {
	identity := hibiscuscoordination.NewIdentity(incarnation, settings.SessionAddress(), settings.FailureDomain())
	event := func(event hibiscuscoordination.Event) {
		log.Info("audit: "+event.Kind().String(), "subject", event.Subject(), "cause", event.Cause())
	}
	return &Entry{
		settings: settings, duty: hibiscuscoordination.NewEntry(identity, event, log), network: network, log: log,
	}
}

// Duty returns the dispatch duty of the process.
func (e *Entry) Duty() *hibiscuscoordination.Entry { return e.duty }

// Run serves until ctx is done, then stops gracefully: it leaves the balancer, finishes its jobs and answers its callers.
func (e *Entry) Run(ctx context.Context) error {
	callers, err := e.network.Listen(e.settings.CallerAddress())
	if err != nil {
		return err
	}
	sessions, err := e.network.Listen(e.settings.SessionAddress())
	if err != nil {
		return errors.CombineErrors(err, callers.Close())
	}
	e.log.Info("entry: serving callers", "address", e.settings.CallerAddress())
	return e.serve(ctx, callers, sessions)
}

func (e *Entry) serve(ctx context.Context, callers, sessions net.Listener) error {
	serving, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	linked, stopSessions := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	defer stopSessions()
	connector := hibiscustransport.NewConnector(e.network, e.settings.Secret(), hibiscustransport.NewSessionHandlers(
		e.duty.Hello, e.duty.PeerUp, e.duty.PeerMessage, e.duty.PeerDown), e.log)
	var duties sync.WaitGroup
	var httpErr error
	duties.Go(e.duty.Run)
	duties.Go(func() { connector.Accept(linked, sessions) })
	duties.Go(func() { connector.Reconcile(linked, e.wantedPeers) })
	duties.Go(func() { httpErr = hibiscustransport.ServeHTTP(serving, callers, e.router(), httpGrace) })

	<-ctx.Done()
	e.drain()
	stopServing()
	for !e.duty.Idle() {
		time.Sleep(drainPoll)
	}
	stopSessions()
	e.duty.Stop()
	duties.Wait()
	e.log.Info("entry: stopped")
	return httpErr
}

// drain leaves the balancer and finishes what was admitted.
func (e *Entry) drain() {
	e.log.Info("entry: draining")
	time.Sleep(e.settings.DrainTime())
	if e.duty.Drain() != nil {
		return
	}
	for !e.duty.Idle() {
		time.Sleep(drainPoll)
	}
}

func (e *Entry) router() chi.Router {
	r := chi.NewRouter()
	signer := hibiscusstate.NewKeySigner(e.settings.Secret())
	hibiscusprotocol.NewCallerAPI(signer, e.duty.Submit, e.duty.IssueKeys, e.duty.Ready).Mount(r)
	return r
}

// wantedPeers returns the addresses of the other entries.
func (e *Entry) wantedPeers() []string {
	addresses := map[string]bool{}
	for _, seed := range e.settings.SeedEntries() {
		addresses[seed] = true
	}
	members, err := e.duty.Members()
	if err != nil {
		return nil
	}
	for _, m := range members {
		addresses[m.Address()] = true
	}
	delete(addresses, e.settings.SessionAddress())
	return keysOf(addresses)
}

func keysOf(set map[string]bool) []string {
	keys := make([]string, 0, len(set))
	for k := range set {
		keys = append(keys, k)
	}
	return keys
}
