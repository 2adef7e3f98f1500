package hibiscuscommand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// What the commands for configuration share: how they reach an entry, and the forms of its answers.

// configurationTimeout bounds one request; an entry settles an edit whose outcome is open for at most 10 s.
const configurationTimeout = 15 * time.Second

// configurationFlags are the flags of every command for configuration that asks an entry.
type configurationFlags struct {
	Entry    string `long:"entry" default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"caller_address of an entry"`
	Token    string `long:"token" env:"HIBISCUSROUTER_TOKEN" default-mask:"-" description:"viewer_token or operator_token of the entry"`
	Operator string `long:"operator" env:"HIBISCUSROUTER_OPERATOR" value-name:"NAME" description:"your name for the audit trail"`
	Output   string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the answer"`
}

type versionView struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// configuration returns the version with its parsed text.
func (v versionView) configuration() (*hibiscusstate.Configuration, error) {
	if v.Version == 0 {
		return hibiscusstate.NewConfiguration(0, "", nil), nil
	}
	d, err := hibiscusprotocol.ParseText(fmt.Sprintf("version %d", v.Version), []byte(v.Text))
	if err != nil {
		return nil, err
	}
	return hibiscusstate.NewConfiguration(v.Version, v.Text, d), nil
}

// refusalView is the body of a request that was refused; a conflict and a bad text say more.
type refusalView struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
	Problems       []problemView `json:"problems,omitempty"`
	BaseVersion    uint64        `json:"base_version,omitempty"`
	CurrentVersion uint64        `json:"current_version,omitempty"`
	Difference     string        `json:"difference,omitempty"`
}

// request sends a request and decodes its answer into v; a refusal is an error, after what it says was printed.
func (f *configurationFlags) request(env *environment, method, path string, body, v any) error {
	ctx, cancel := context.WithTimeout(env.ctx, configurationTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+f.Entry+path, bytes.NewReader(encoded))
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	request.Header.Set("Authorization", "Bearer "+f.Token)
	request.Header.Set("Operator", f.Operator)
	request.Header.Set("Content-Type", "application/json")
	response, err := env.httpClient().Do(request)
	if err != nil {
		return errors.Mark(err, errNoReach)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(err, errNoReach)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return f.refused(env, response.StatusCode, raw)
	}
	return errors.Wrap(json.Unmarshal(raw, v), "the entry's answer is not valid JSON")
}

// refused prints what an entry says about a refusal beyond its message, and returns the refusal as an error.
func (f *configurationFlags) refused(env *environment, status int, raw []byte) error {
	var view refusalView
	if json.Unmarshal(raw, &view) != nil || view.Error.Code == "" {
		return errors.Newf("entry %s answered with status %d", f.Entry, status)
	}
	if f.Output == "json" {
		if err := env.printJSON(view); err != nil {
			return err
		}
	} else {
		for _, p := range view.Problems {
			env.printf("%d:%d: %s\n", p.Line, p.Column, p.Message)
		}
		env.printf("%s", view.Difference)
	}
	err := errors.Newf("entry %s refused the request: %s: %s", f.Entry, view.Error.Code, view.Error.Message)
	if status == http.StatusBadRequest || status == http.StatusUnprocessableEntity {
		return errors.Mark(err, errUsage)
	}
	return err
}

// version reads one version; its path is "current" or a number.
func (f *configurationFlags) version(env *environment, path string) (versionView, error) {
	var view versionView
	err := f.request(env, http.MethodGet, "/v1/admin/configurations/"+path, nil, &view)
	return view, err
}

// httpClient returns what the commands reach entries with.
func (e *environment) httpClient() *http.Client {
	if e.client != nil {
		return e.client
	}
	return http.DefaultClient
}
