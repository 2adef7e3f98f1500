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

// What the commands for configuration share: the forms of an entry's answers. admin.go has the flags and the request.

// configurationTimeout bounds one request; an entry settles an edit whose outcome is open for at most 10 s.
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

// request sends a request and decodes its answer into v; a refusal is an error, after what it says was printed.
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
	return decodeAnswer(raw, v)
}

// printRefusal prints what an entry says about a refusal beyond its message.
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

// version reads one version; its path is "current" or a number.
func (f *configurationFlags) version(env *environment, path string) (versionView, error) {
	var view versionView
	err := f.request(env, http.MethodGet, "/v1/admin/configurations/"+path, nil, &view)
	return view, err
}
