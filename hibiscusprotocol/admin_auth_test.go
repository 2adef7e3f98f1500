package hibiscusprotocol

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// TestAdminAuth guards against a request that passes with no token, with the wrong one, with the viewer's token for a change,
// or with an empty token against an entry that has none set.
func TestAdminAuth(t *testing.T) {
	Convey("tokens and roles", t, func() {
		pass := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { writeJSON(w, 200, AdminActor(r)) })
		ask := func(a *AdminAuth, change bool, authorization, name string) (int, string) {
			h := a.RequireViewer(pass)
			if change {
				h = a.RequireOperator(pass)
			}
			r := httptest.NewRequest(http.MethodGet, "/", nil)
			r.Header.Set("Authorization", authorization)
			r.Header.Set("Operator", name)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			return w.Code, w.Body.String()
		}
		expect := func(a *AdminAuth, change bool, authorization, name string, status int) string {
			code, body := ask(a, change, authorization, name)
			So(code, ShouldEqual, status)
			return body
		}
		both := NewAdminAuth("viewer-token-0123", "operator-token-01")
		So(expect(both, false, "Bearer viewer-token-0123", "", 200), ShouldEqual, "\"viewer\"\n")
		So(expect(both, true, "Bearer operator-token-01", "Asha", 200), ShouldEqual, "\"operator Asha\"\n")
		expect(both, false, "Bearer operator-token-01", "", 200)
		expect(both, true, "Bearer viewer-token-0123", "", 403)
		expect(both, false, "viewer-token-0123", "", 401)
		expect(both, false, "Bearer viewer-token-0124", "", 401)
		expect(both, false, "Bearer ", "", 401)
		expect(NewAdminAuth("viewer-token-0123", ""), true, "Bearer ", "", 401)
		expect(NewAdminAuth("", ""), false, "Bearer ", "", 403)
	})
}
