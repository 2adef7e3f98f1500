package hibiscusprocess

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
	"hibiscusrouter/hibiscustransport"
)

// TestEndpointIdleClose guards against reporting a task as possibly run because the endpoint closed an idle connection just when
// the agent reused it: the interval between tasks is the endpoint's idle timeout.
func TestEndpointIdleClose(t *testing.T) {
	const (
		endpointIdle = time.Second
		tasks        = 50
	)
	outcomes := map[hibiscusstate.Outcome]int{}
	synctest.Test(t, func(t *testing.T) {
		d := newDeployment(t)
		l, err := d.network.Listen("10.0.2.1:7400")
		d.must(err)
		server := &http.Server{IdleTimeout: endpointIdle, Handler: http.HandlerFunc(
			func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"output": "done"}`) })}
		d.goroutines.Go(func() { d.note("endpoint: %v", server.Serve(l)) })
		client := hibiscustransport.NewHTTPClient(d.memoryNetwork(), 8)
		api := hibiscusprotocol.NewEndpointAPI(client, func(string, hibiscusstate.Resources) error { return nil }, nil)
		announce(api, `{"service":"sighting","address":"10.0.2.1:7400","slots":8}`)
		order := hibiscusstate.NewOrder(hibiscusstate.TaskAttempt{}, 1, 0, "check", nil).WithBudget(time.Minute)
		for i := range tasks {
			outcomes[api.Execute(context.Background(), order).Outcome()]++
			// The answer took one network delay, so the endpoint's idle timeout ends within these few microseconds.
			time.Sleep(endpointIdle - 2*networkDelay + time.Duration(i*50)*time.Microsecond)
		}
		d.must(server.Close())
		client.CloseIdleConnections()
		d.close()
	})
	convey.Convey("every task finished", t, func() {
		convey.So(outcomes, convey.ShouldResemble, map[hibiscusstate.Outcome]int{hibiscusstate.OutcomeFinished: tasks})
	})
}

// announce sends an announcement of an endpoint to the agent's handler.
func announce(api *hibiscusprotocol.EndpointAPI, body string) {
	r := chi.NewRouter()
	api.Mount(r)
	request, err := http.NewRequest(http.MethodPut, "/v1/endpoint", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.ServeHTTP(discardResponse{}, request)
}

type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}
