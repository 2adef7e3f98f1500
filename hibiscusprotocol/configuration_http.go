package hibiscusprotocol

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"github.com/pmezard/go-difflib/difflib"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// The operators' HTTP interface for configuration:
//
//	POST /v1/admin/configurations                    accept an edit based on a version
//	GET  /v1/admin/configurations/current            the current version of the table
//	GET  /v1/admin/configurations/{version}          one version
//	GET  /v1/admin/configurations/{version}/in_force which processes have it in force
//	GET  /v1/admin/audit?limit=N                     the newest audit entries
//
// Any entry serves them. An edit is stored by the table service; status 201 means that it is durably accepted.

const (
	// maxEditBytes bounds the body of an edit; escaped as a JSON string, the text is longer.
	maxEditBytes = 2*maxConfigurationBytes + 1<<16
	// acceptTimeout bounds an edit, with the queries of its outcome when the table service did not respond.
	acceptTimeout     = 10 * time.Second
	defaultAuditLimit = 50
	maxAuditLimit     = 1000
)

// ConfigurationAPI serves the configuration and the audit trail to operators.
type ConfigurationAPI struct {
	auth      *AdminAuth
	store     *ConfigurationStore
	audit     *AuditStore
	configure func(*hibiscusstate.Configuration) error
	processes func() ([]hibiscuscoordination.ProcessVersion, error)
}

// NewConfigurationAPI returns the handlers; with a nil store, requests that need it are refused. configure puts an accepted
// version in force and pushes it, and processes returns the version in force in each process.
func NewConfigurationAPI(
	auth *AdminAuth, store *ConfigurationStore, audit *AuditStore, configure func(*hibiscusstate.Configuration) error,
	processes func() ([]hibiscuscoordination.ProcessVersion, error),
) *ConfigurationAPI {
	return &ConfigurationAPI{auth: auth, store: store, audit: audit, configure: configure, processes: processes}
}

// Mount adds the routes to a router.
func (c *ConfigurationAPI) Mount(r chi.Router) {
	r.With(c.auth.RequireOperator, c.requireStore).Post("/v1/admin/configurations", c.postConfiguration)
	r.With(c.auth.RequireViewer, c.requireStore).Get("/v1/admin/configurations/current", c.getCurrent)
	r.With(c.auth.RequireViewer, c.requireStore).Get("/v1/admin/configurations/{version}", c.getVersion)
	r.With(c.auth.RequireViewer).Get("/v1/admin/configurations/{version}/in_force", c.getInForce)
	r.With(c.auth.RequireViewer, c.requireStore).Get("/v1/admin/audit", c.getAudit)
}

type editRequest struct {
	Text        string `json:"text"`
	BaseVersion uint64 `json:"base_version"`
}

type acceptedBody struct {
	Version     uint64 `json:"version"`
	BaseVersion uint64 `json:"base_version"`
	Changes     string `json:"changes"`
}

type problemBody struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"message"`
}

type badTextBody struct {
	Error    adminErrorDetail `json:"error"`
	Problems []problemBody    `json:"problems"`
}

type conflictBody struct {
	Error          adminErrorDetail `json:"error"`
	BaseVersion    uint64           `json:"base_version"`
	CurrentVersion uint64           `json:"current_version"`
	Difference     string           `json:"difference"`
}

type configurationBody struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

type inForceBody struct {
	Version   uint64        `json:"version"`
	InForce   bool          `json:"in_force"`
	Processes []processBody `json:"processes"`
}

type processBody struct {
	Role      string `json:"role"`
	Address   string `json:"address"`
	Version   uint64 `json:"version"`
	Connected bool   `json:"connected"`
}

type auditBody struct {
	Entries []auditRow `json:"entries"`
}

func (c *ConfigurationAPI) requireStore(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.store == nil {
			writeAdminError(w, http.StatusServiceUnavailable, "platform_unavailable", "this entry's settings have no platform_address")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (c *ConfigurationAPI) postConfiguration(w http.ResponseWriter, r *http.Request) {
	var request editRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		writeAdminError(w, http.StatusBadRequest, "bad_request", "the body is not a JSON object with text and base_version: "+err.Error())
		return
	}
	document, problems := CheckConfiguration([]byte(request.Text))
	if len(problems) > 0 {
		writeBadText(w, problems)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), acceptTimeout)
	defer cancel()
	before, err := c.read(ctx, request.BaseVersion)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	edit := hibiscuscoordination.NewEdit(request.BaseVersion, request.Text, document, AdminActor(r), AdminClientIP(r))
	what := "configuration: " + hibiscuscoordination.Summarize(hibiscuscoordination.Plan(before.Document(), document))
	accepted, err := c.store.Accept(ctx, time.Now(), edit, what)
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		c.writeConflict(ctx, w, before, request.Text, conflict)
		return
	case err != nil:
		writeStoreError(w, err)
		return
	}
	if err := c.configure(accepted); err != nil {
		// The process is stopping; the other entries read the new version from the table.
		writeAdminError(w, http.StatusServiceUnavailable, "draining",
			"version "+strconv.FormatUint(accepted.Version(), 10)+" is accepted, but this entry is stopping")
		return
	}
	writeJSON(w, http.StatusCreated, acceptedBody{Version: accepted.Version(), BaseVersion: request.BaseVersion, Changes: what})
}

// read returns a version; version zero is the empty configuration before the first edit.
func (c *ConfigurationAPI) read(ctx context.Context, version uint64) (*hibiscusstate.Configuration, error) {
	if version == 0 {
		return hibiscusstate.NewConfiguration(0, "", nil), nil
	}
	return c.store.Read(ctx, version)
}

// writeConflict writes both versions and the lines that others changed since the base.
func (c *ConfigurationAPI) writeConflict(
	ctx context.Context, w http.ResponseWriter, before *hibiscusstate.Configuration, text string, conflict *ConflictError,
) {
	current, err := c.read(ctx, conflict.current)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	message := conflict.Error() + "; nothing was changed"
	if current.Text() == text {
		// The typical cause is an earlier request with the same edit whose response was lost.
		message = conflict.Error() + " and has the text that was sent"
	}
	writeJSON(w, http.StatusConflict, conflictBody{
		Error:       adminErrorDetail{Code: "conflict", Message: message},
		BaseVersion: conflict.base, CurrentVersion: conflict.current, Difference: DiffConfigurations(before, current),
	})
}

// DiffConfigurations returns the lines that differ between two versions, as a unified diff, empty for none.
func DiffConfigurations(a, b *hibiscusstate.Configuration) string {
	// The only error is a write error of the buffer behind the function, which never fails.
	difference, _ := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: splitLines(a.Text()), B: splitLines(b.Text()), Context: 2,
		FromFile: "version " + strconv.FormatUint(a.Version(), 10), ToFile: "version " + strconv.FormatUint(b.Version(), 10),
	})
	return difference
}

// splitLines returns the lines, each with a newline, also if the last one lacks it; an empty text has no lines.
func splitLines(text string) []string {
	if text == "" {
		return nil
	}
	return difflib.SplitLines(strings.TrimSuffix(text, "\n"))
}

func (c *ConfigurationAPI) getCurrent(w http.ResponseWriter, r *http.Request) {
	version, err := c.store.Current(r.Context())
	if err != nil {
		writeStoreError(w, err)
		return
	}
	c.writeVersion(w, r, version)
}

func (c *ConfigurationAPI) getVersion(w http.ResponseWriter, r *http.Request) {
	if version, ok := versionParam(w, r); ok {
		c.writeVersion(w, r, version)
	}
}

func (c *ConfigurationAPI) writeVersion(w http.ResponseWriter, r *http.Request, version uint64) {
	found, err := c.read(r.Context(), version)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, configurationBody{Version: version, Text: found.Text()})
}

func versionParam(w http.ResponseWriter, r *http.Request) (uint64, bool) {
	version, err := strconv.ParseUint(chi.URLParam(r, "version"), 10, 64)
	if err != nil {
		writeAdminError(w, http.StatusBadRequest, "bad_request", "the version in the path is not a whole number")
		return 0, false
	}
	return version, true
}

func (c *ConfigurationAPI) getInForce(w http.ResponseWriter, r *http.Request) {
	version, ok := versionParam(w, r)
	if !ok {
		return
	}
	processes, err := c.processes()
	if err != nil {
		writeAdminError(w, http.StatusServiceUnavailable, "draining", "this entry is stopping")
		return
	}
	body := inForceBody{Version: version, InForce: true, Processes: make([]processBody, len(processes))}
	for i, p := range processes {
		body.Processes[i] = processBody{
			Role: p.Role().String(), Address: p.Address(), Version: p.Version(), Connected: p.Connected(),
		}
		body.InForce = body.InForce && p.Version() >= version
	}
	slices.SortFunc(body.Processes, func(a, b processBody) int {
		// Entries before agents.
		return cmp.Or(strings.Compare(b.Role, a.Role), strings.Compare(a.Address, b.Address))
	})
	writeJSON(w, http.StatusOK, body)
}

func (c *ConfigurationAPI) getAudit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxAuditLimit {
			writeAdminError(w, http.StatusBadRequest, "bad_request", "limit is not a whole number from 1 to "+strconv.Itoa(maxAuditLimit))
			return
		}
		limit = n
	}
	entries, err := c.audit.Read(r.Context(), limit)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	body := auditBody{Entries: make([]auditRow, len(entries))}
	for i, e := range entries {
		body.Entries[i] = newAuditRow(e)
	}
	writeJSON(w, http.StatusOK, body)
}

func writeBadText(w http.ResponseWriter, problems []ConfigurationProblem) {
	body := badTextBody{
		Error: adminErrorDetail{Code: "bad_text", Message: strconv.Itoa(len(problems)) + " errors in the text; nothing was changed"},
	}
	for _, p := range problems {
		body.Problems = append(body.Problems, problemBody{Line: p.line, Column: p.column, Message: p.message})
	}
	writeJSON(w, http.StatusUnprocessableEntity, body)
}

func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnknownVersion):
		writeAdminError(w, http.StatusNotFound, "unknown_version", err.Error())
	case errors.Is(err, ErrOutcomeUnknown):
		writeAdminError(w, http.StatusGatewayTimeout, "outcome_unknown",
			"the table service did not say whether the edit took effect; read the current version before another try")
	default:
		writeAdminError(w, http.StatusServiceUnavailable, "platform_unavailable",
			"the table service does not answer; nothing was changed")
	}
}
