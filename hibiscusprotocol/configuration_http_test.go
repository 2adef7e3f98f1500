package hibiscusprotocol_test

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// TestConfigurationRequests guards against a response that doesn't distinguish a refused edit from one whose outcome is
// unknown, a configuration with errors that is accepted, and a change without the operator's token.
func TestConfigurationRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTableHarness(t)
		defer b.close()
		var inForce uint64
		mount := func(store *hibiscusprotocol.ConfigurationStore) chi.Router {
			r := chi.NewRouter()
			hibiscusprotocol.NewConfigurationAPI(
				hibiscusprotocol.NewAdminAuth("viewer-token-0123", "operator-token-01"), store, hibiscusprotocol.NewAuditStore(b.table, slog.New(slog.DiscardHandler)),
				func(c *hibiscusstate.Configuration) error {
					inForce = c.Version()
					return nil
				},
				func() ([]hibiscuscoordination.ProcessVersion, error) { return nil, hibiscuscoordination.ErrStopped },
			).Mount(r)
			return r
		}
		full := mount(hibiscusprotocol.NewConfigurationStore(b.table))
		ask := func(r chi.Router, token, method, path, body string) {
			request := httptest.NewRequest(method, path, strings.NewReader(body))
			request.Header.Set("Authorization", "Bearer "+token)
			w := httptest.NewRecorder()
			start := time.Now()
			r.ServeHTTP(w, request)
			b.logf("%s %s %.60s\n  after %d ms, version %d in force: %d %s", method, path, body, time.Since(start).Milliseconds(), inForce,
				w.Code, strings.TrimSpace(w.Body.String()))
		}
		edit := func(base uint64, text string) string {
			var raw bytes.Buffer
			if err := json.NewEncoder(&raw).Encode(map[string]any{"base_version": base, "text": text}); err != nil {
				t.Error(err)
			}
			return strings.TrimSpace(raw.String())
		}
		const path, operator, viewer = "/v1/admin/configurations", "operator-token-01", "viewer-token-0123"
		ask(full, viewer, http.MethodPost, path, edit(0, smallConfiguration))
		ask(mount(nil), operator, http.MethodPost, path, edit(0, smallConfiguration))
		ask(full, operator, http.MethodPost, path, edit(0, strings.ReplaceAll(smallConfiguration, "run_ms: 10", "run_ms: 0")))
		ask(full, operator, http.MethodPost, path, `{"text": 4}`)
		ask(full, operator, http.MethodPost, path, `{"txt": ""}`)
		ask(full, operator, http.MethodPost, path, edit(7, smallConfiguration))
		ask(full, operator, http.MethodPost, path, edit(0, smallConfiguration))
		ask(full, operator, http.MethodPost, path, edit(0, smallConfiguration+"# late\n"))
		ask(full, viewer, http.MethodGet, path+"/current", "")
		ask(full, viewer, http.MethodGet, path+"/9", "")
		ask(full, viewer, http.MethodGet, path+"/last", "")
		ask(full, viewer, http.MethodGet, path+"/1/in_force", "")
		ask(full, viewer, http.MethodGet, "/v1/admin/audit?limit=0", "")
		b.platform.LoseAnswers(1)
		b.onAnswerLost = func() { b.platform.SetOutage(true) }
		ask(full, operator, http.MethodPost, path, edit(1, smallConfiguration))
		ask(full, operator, http.MethodPost, path, edit(2, smallConfiguration))
		b.platform.SetOutage(false)
		ask(full, operator, http.MethodPost, path, edit(1, smallConfiguration))
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "configuration_requests", []byte(b.transcript.String()))
	})
}
