package hibiscuscommand

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// Requests and responses shared by the configuration commands. admin.go has the flags and the request type.

// configurationTimeout bounds one request; an entry queries the outcome of an edit for at most 10 s.
const configurationTimeout = 15 * time.Second

type versionView struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// configuration returns the version with its parsed text.
func (v versionView) configuration() (*hibiscusstate.Configuration, error) {
	if v.Version == 0 {
		return hibiscusstate.NewConfiguration(0, "", nil), nil
	}
	d, err := hibiscusprotocol.ParseConfiguration(fmt.Sprintf("version %d", v.Version), []byte(v.Text))
	if err != nil {
		return nil, err
	}
	return hibiscusstate.NewConfiguration(v.Version, v.Text, d), nil
}

// request sends a request and decodes the response into v; the details of a refusal are printed, and it is an error.
func (f *configurationFlags) request(env *environment, method, path string, body, v any) error {
	request := f.newRequest(method, path, configurationTimeout)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		request.body = encoded
	}
	raw, refusal, err := request.send(env)
	if refusal != nil {
		if err := f.printRefusal(env, refusal); err != nil {
			return err
		}
	}
	if err != nil {
		return err
	}
	return decodeResponse(raw, v)
}

// printRefusal prints the problems and the difference in a refusal.
func (f *configurationFlags) printRefusal(env *environment, view *refusalView) error {
	if f.Output == "json" {
		return env.printJSON(view)
	}
	for _, p := range view.Problems {
		env.printf("%d:%d: %s\n", p.Line, p.Column, p.Message)
	}
	env.printf("%s", view.Difference)
	return nil
}

// version fetches one version; path is "current" or a number.
func (f *configurationFlags) version(env *environment, path string) (versionView, error) {
	var view versionView
	err := f.request(env, http.MethodGet, "/v1/admin/configurations/"+path, nil, &view)
	return view, err
}
