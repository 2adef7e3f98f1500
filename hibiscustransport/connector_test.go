package hibiscustransport

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstandin"
)

// TestDialsOfASuspendedPeer guards against a process that dials a peer without backoff while the peer's host accepts connections and the
// peer doesn't answer: the peer finds all these connections when it goes on.
func TestDialsOfASuspendedPeer(t *testing.T) {
	var lines []string
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.1.1:7200"
		network := hibiscusstandin.NewMemoryNetwork(time.Millisecond)
		l, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithCancel(context.Background())
		began := time.Now()
		dialled := NewNetwork(nil, func(ctx context.Context, address string) (net.Conn, error) {
			lines = append(lines, fmt.Sprintf("%6d ms  dial", time.Since(began).Milliseconds()))
			time.Sleep(time.Millisecond) // the round trip of a connection
			return network.Dial(ctx, address)
		})
		handlers := NewSessionHandlers(
			func() hibiscuscoordination.Hello {
				return hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, 1, "10.0.2.1:7300", "a", 0, hibiscuscoordination.Capacity{})
			},
			func(*hibiscuscoordination.Peer) error { return nil },
			func(*hibiscuscoordination.Peer, hibiscuscoordination.Message) error { return nil },
			func(*hibiscuscoordination.Peer) error { return nil },
		)
		c := NewConnector(dialled, testSecret, handlers, slog.New(slog.DiscardHandler))
		ended := make(chan struct{})
		go func() {
			c.Reconcile(ctx, func() []string { return []string{address} })
			close(ended)
		}()
		time.Sleep(20 * time.Second)
		stop()
		l.Close()
		<-ended
	})
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "dials_of_a_suspended_peer", []byte(strings.Join(lines, "\n")+"\n"))
}
