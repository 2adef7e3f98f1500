package hibiscusprotocol

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
)

// Administration requests carry "Authorization: Bearer TOKEN". The viewer's token reads, the operator's token reads and
// changes. A token that is not set grants nothing, so an entry without tokens refuses the whole administration API.

const (
	operatorHeader  = "Operator"
	maxOperatorName = 64

	roleViewer   = "viewer"
	roleOperator = "operator"
)

// AdminAuth checks the bearer tokens of administration requests.
type AdminAuth struct {
	viewer   string
	operator string
}

// NewAdminAuth returns the check for the two tokens; an empty one grants nothing.
func NewAdminAuth(viewerToken, operatorToken string) *AdminAuth {
	return &AdminAuth{viewer: viewerToken, operator: operatorToken}
}

// RequireViewer lets requests with either token pass.
func (a *AdminAuth) RequireViewer(next http.Handler) http.Handler { return a.require(next, false) }

// RequireOperator lets requests with the operator's token pass.
func (a *AdminAuth) RequireOperator(next http.Handler) http.Handler { return a.require(next, true) }

func (a *AdminAuth) require(next http.Handler, change bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.viewer == "" && a.operator == "" {
			writeAdminError(w, http.StatusForbidden, "administration_off", "this entry's settings have no operator_token and no viewer_token")
			return
		}
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		role := ""
		switch {
		case found && tokenMatches(token, a.operator):
			role = roleOperator
		case found && tokenMatches(token, a.viewer):
			role = roleViewer
		default:
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeAdminError(w, http.StatusUnauthorized, "unauthorized", "the request carries no valid bearer token")
			return
		}
		if change && role != roleOperator {
			writeAdminError(w, http.StatusForbidden, "forbidden", "this request needs the operator's token")
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), roleKey{}, role)))
	})
}

// roleKey is the context key of the role that a token grants.
type roleKey struct{}

// AdminActor returns who makes a checked request, for the audit trail: the role, and the name in the Operator header.
func AdminActor(r *http.Request) string {
	role, _ := r.Context().Value(roleKey{}).(string)
	name := strings.TrimSpace(r.Header.Get(operatorHeader))
	if name == "" {
		return role
	}
	return role + " " + name[:min(len(name), maxOperatorName)]
}

// AdminClientIP returns the IP address that a request came from, for the audit trail.
func AdminClientIP(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// tokenMatches compares digests, so that the time taken says nothing about the token.
func tokenMatches(token, want string) bool {
	got, expected := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(want))
	return want != "" && subtle.ConstantTimeCompare(got[:], expected[:]) == 1
}

type adminErrorBody struct {
	Error adminErrorDetail `json:"error"`
}

type adminErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func writeAdminError(w http.ResponseWriter, status int, code, message string) {
	writeJSON(w, status, adminErrorBody{Error: adminErrorDetail{Code: code, Message: message}})
}
