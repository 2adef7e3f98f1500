package hibiscuscommand

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const submitHelp = "Reads a job file (JSON, see docs/api.md), gets a submission key, submits the job and prints its answer. " +
	"Exit code 0 when the job is complete, 1 when it failed or was refused, 3 when no entry could be reached. With --key the " +
	"job is submitted again under an earlier key; nothing is started twice."

type submitCommand struct {
	env     *environment
	Entry   string `long:"entry" default:"127.0.0.1:7100" value-name:"HOST:PORT" description:"caller_address of an entry"`
	Key     string `long:"key" value-name:"KEY" description:"submission key of an earlier try"`
	Output  string `long:"output" default:"text" choice:"text" choice:"json" description:"form of the answer"`
	RetryMS int64  `long:"retry-ms" default:"5000" value-name:"MS" description:"how long to follow the retry hints of refusals"`
	Args    struct {
		File string `positional-arg-name:"JOB-FILE" description:"job file, - for standard input"`
	} `positional-args:"true" required:"true"`
}

// answerView is the part of a job's answer that the command shows.
type answerView struct {
	Key   string `json:"submission_key"`
	State string `json:"state"`
	Tasks []struct {
		Outcome string          `json:"outcome"`
		Output  json.RawMessage `json:"output"`
		Reason  string          `json:"reason"`
	} `json:"tasks"`
	Error *struct {
		Code         string `json:"code"`
		Message      string `json:"message"`
		Run          string `json:"run"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// Execute implements flags.Commander.
func (c *submitCommand) Execute([]string) error {
	body, err := readFile(c.Args.File)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	client := &http.Client{}
	key := c.Key
	if key == "" {
		if key, err = issueKey(c.env, client, c.Entry); err != nil {
			return err
		}
	}
	raw, err := submitJob(c.env, client, c.Entry, key, body, time.Duration(c.RetryMS)*time.Millisecond)
	if err != nil {
		return err
	}
	return c.print(raw)
}

// submitJob submits a job and, for at most retryFor, follows the retry hints of refusals that say not run.
func submitJob(env *environment, client *http.Client, entry, key string, body []byte, retryFor time.Duration) ([]byte, error) {
	giveUp := time.Now().Add(retryFor)
	for {
		raw, err := post(env, client, "http://"+entry+"/v1/jobs", key, body)
		if err != nil {
			return nil, err
		}
		var view answerView
		if json.Unmarshal(raw, &view) != nil || view.Error == nil || view.Error.Run != "not_run" || view.Error.RetryAfterMS == 0 {
			return raw, nil
		}
		hint := time.Duration(view.Error.RetryAfterMS) * time.Millisecond
		if time.Now().Add(hint).After(giveUp) {
			return raw, nil
		}
		select {
		case <-env.ctx.Done():
			return raw, nil
		case <-time.After(hint):
		}
	}
}

func (c *submitCommand) print(raw []byte) error {
	var view answerView
	if err := json.Unmarshal(raw, &view); err != nil {
		return errors.Wrap(err, "the entry's answer is not valid JSON")
	}
	if c.Output == "json" {
		c.env.printf("%s", raw)
	} else {
		view.printText(c.env)
	}
	if view.Error != nil {
		return errors.Newf("job was refused: %s (%s)", view.Error.Message, view.Error.Run)
	}
	if view.State != "complete" {
		return errors.Newf("job is %s", view.State)
	}
	return nil
}

func (v *answerView) printText(env *environment) {
	if v.Error != nil {
		env.printf("refused: %s, %s: %s\n", v.Error.Code, v.Error.Run, v.Error.Message)
		return
	}
	env.printf("job %s: %s, %d tasks\n", v.Key, v.State, len(v.Tasks))
	for i, t := range v.Tasks {
		if t.Reason != "" {
			env.printf("%5d  %s: %s\n", i, t.Outcome, t.Reason)
			continue
		}
		env.printf("%5d  %s  %s\n", i, t.Outcome, t.Output)
	}
}

func issueKey(env *environment, client *http.Client, entry string) (string, error) {
	raw, err := post(env, client, "http://"+entry+"/v1/keys", "", []byte(`{"count": 1}`))
	if err != nil {
		return "", err
	}
	var keys struct {
		SubmissionKeys []string `json:"submission_keys"`
	}
	if err := json.Unmarshal(raw, &keys); err != nil || len(keys.SubmissionKeys) != 1 {
		return "", errors.Newf("the entry issued no key: %s", raw)
	}
	return keys.SubmissionKeys[0], nil
}

func post(env *environment, client *http.Client, url, key string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(env.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	request.Header.Set("Content-Type", "application/json")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Mark(err, errUnreachable)
	}
	defer response.Body.Close()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Mark(err, errUnreachable)
	}
	return raw, nil
}

func readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path)
}
