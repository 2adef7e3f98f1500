package hibiscusprotocol

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

const adminToken = "viewer token for tests"

// newAdminEntry returns the router of an entry that n workers are connected to, and what stops its duty.
func newAdminEntry(n int) (http.Handler, *hibiscuscoordination.Entry) {
	identity := hibiscuscoordination.NewIdentity(1, "10.0.1.1:7200", "a")
	duty := hibiscuscoordination.NewEntry(identity, func(hibiscuscoordination.Event) {}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	go duty.Run()
	for i := range n {
		hello := hibiscuscoordination.NewHello(hibiscuscoordination.RoleAgent, hibiscusstate.Incarnation(i+2), workerAddress(i), "a", 0,
			hibiscuscoordination.NewCapacity("sighting", 8, i%100 == 7, 1))
		send := func(hibiscuscoordination.Message) bool { return true }
		if err := duty.PeerUp(hibiscuscoordination.NewPeer(hello, send, func() {})); err != nil {
			panic(err)
		}
	}
	r := chi.NewRouter()
	auth := NewAdminAuth(adminToken, "")
	NewAdminAPI(auth, duty, duty.Ready, func(string, string) {}).Mount(r)
	NewEntryMetrics(duty, NewEntryMetricsSeams(
		func() hibiscuscoordination.SessionCounters { return hibiscuscoordination.SessionCounters{} },
		func() hibiscuscoordination.TableCounters { return hibiscuscoordination.NewTableCounters(3, 2, 1) },
		func(hibiscusstate.Refusal) uint64 { return 0 }, func() uint64 { return 4 }, func() uint64 { return 5 },
	)).MountEntry(r, auth)
	return r, duty
}

func workerAddress(i int) string { return fmt.Sprintf("10.0.%d.%d:7300", 2+i/250, 1+i%250) }

func get(h http.Handler, url, token, remote string) (int, string) {
	request := httptest.NewRequest(http.MethodGet, url, nil)
	request.RemoteAddr = remote
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response := httptest.NewRecorder()
	h.ServeHTTP(response, request)
	return response.Code, response.Body.String()
}

// TestAdminPages guards against a page that repeats or leaves out an endpoint, against an order that hides the endpoints in
// trouble, and against a request for a page that takes a wrong limit as the default.
func TestAdminPages(t *testing.T) {
	h, duty := newAdminEntry(920)
	defer duty.Stop()
	page := func(query string) (addresses []string, next string, total int) {
		status, body := get(h, "/v1/admin/endpoints?"+query, adminToken, "10.0.9.1:1")
		So(status, ShouldEqual, http.StatusOK)
		var p adminPage[adminEndpointBody]
		So(json.Unmarshal([]byte(body), &p), ShouldBeNil)
		for _, e := range p.Items {
			addresses = append(addresses, e.Address)
		}
		return addresses, p.Next, p.Total
	}
	Convey("The pages together are the list, in its order", t, func() {
		var want, got, sizes []string
		for i := range 920 {
			want = append(want, workerAddress(i))
		}
		slices.Sort(want)
		next := ""
		for first := true; first || next != ""; first = false {
			addresses, after, total := page("limit=250&after=" + next)
			got = append(got, addresses...)
			sizes = append(sizes, fmt.Sprintf("%d/%d", len(addresses), total))
			next = after
		}
		So(sizes, ShouldResemble, []string{"250/920", "250/920", "250/920", "170/920"})
		So(got, ShouldResemble, want)
	})
	Convey("Endpoints in trouble come first in the order of health", t, func() {
		addresses, _, _ := page("sort=health&limit=2")
		So(addresses, ShouldResemble, []string{workerAddress(107), workerAddress(207)})
	})
	Convey("Wrong requests are refused", t, func() {
		for _, query := range []string{"limit=0", "limit=1001", "limit=x", "sort=colour", "sort=health&after=10.0.2.1:7300"} {
			status, body := get(h, "/v1/admin/endpoints?"+query, adminToken, "10.0.9.1:1")
			So(fmt.Sprintf("%s %d %v", query, status, strings.Contains(body, `"code":"bad_request"`)), ShouldEqual, query+" 400 true")
		}
	})
	Convey("Status names a bounded number of endpoints in trouble, and counts them all", t, func() {
		_, body := get(h, "/v1/admin/status", adminToken, "10.0.9.1:1")
		var status adminStatusBody
		So(json.Unmarshal([]byte(body), &status), ShouldBeNil)
		So([]int{status.Endpoints.Known, status.Endpoints.Usable, len(status.Problems)}, ShouldResemble, []int{920, 910, 10})
	})
}

// BenchmarkAdmin measures what a request of an operator costs at 920 workers; the part on the duty holds up dispatch.
func BenchmarkAdmin(b *testing.B) {
	h, duty := newAdminEntry(920)
	defer duty.Stop()
	b.Run("duty_workers", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := duty.Workers(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("duty_troubled_workers", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := duty.UnhealthyWorkers(); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("duty_services", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := duty.Services(); err != nil {
				b.Fatal(err)
			}
		}
	})
	for _, url := range []string{"/v1/admin/status", "/v1/admin/endpoints?limit=1000", "/debug/vars"} {
		b.Run(url, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if code, _ := get(h, url, adminToken, "10.0.9.1:1"); code != http.StatusOK {
					b.Fatal(code)
				}
			}
		})
	}
}
