package hibiscuscommand

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusprotocol"
)

const (
	applyHelp = "Checks a configuration text, sends it to an entry, and waits until it is in force in every process. " +
		"The text is accepted only if the current version is the one that it was based on (--base, by default the " +
		"version read just before). Needs the operator's token. Exit code 0 when it is in force everywhere, 1 when it " +
		"was refused or some process does not have it in time, 2 when the text has errors, 3 when the entry could not be " +
		"reached."
	revertHelp = "Makes the text of an earlier version the newest version, and waits until it is in force in every " +
		"process. The versions in between stay in the history. Needs the operator's token. Exit codes are those of apply."

	// inForcePollInterval is how often apply asks which processes have the new version.
	inForcePollInterval = 100 * time.Millisecond
)

type applyCommand struct {
	env *environment
	configurationFlags
	Base      int64 `long:"base" default:"-1" default-mask:"current" value-name:"N" description:"version that the text was based on"`
	TimeoutMS int64 `long:"timeout-ms" default:"10000" value-name:"MS" description:"how long to wait until every process has it in force"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"configuration text, - for standard input"`
	} `positional-args:"true" required:"true"`
}

type revertCommand struct {
	env *environment
	configurationFlags
	TimeoutMS int64 `long:"timeout-ms" default:"10000" value-name:"MS" description:"how long to wait until every process has it in force"`
	Args      struct {
		Version uint64 `positional-arg-name:"N" description:"version whose text comes back"`
	} `positional-args:"true" required:"true"`
}

type editView struct {
	Text        string `json:"text"`
	BaseVersion uint64 `json:"base_version"`
}

// appliedView is the answer of apply in JSON.
type appliedView struct {
	Version     uint64        `json:"version"`
	BaseVersion uint64        `json:"base_version"`
	Changes     string        `json:"changes"`
	InForce     bool          `json:"in_force"`
	Processes   []processView `json:"processes"`
}

type processView struct {
	Role      string `json:"role"`
	Address   string `json:"address"`
	Version   uint64 `json:"version"`
	Connected bool   `json:"connected"`
}

// Execute implements flags.Commander.
func (c *applyCommand) Execute([]string) error {
	text, err := readFile(c.Args.File)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if _, err := hibiscusprotocol.ParseConfiguration(c.Args.File, text); err != nil {
		return err
	}
	base := uint64(max(c.Base, 0))
	if c.Base < 0 {
		current, err := c.version(c.env, "current")
		if err != nil {
			return err
		}
		base = current.Version
	}
	return c.edit(c.env, string(text), base, time.Duration(c.TimeoutMS)*time.Millisecond)
}

// Execute implements flags.Commander.
func (c *revertCommand) Execute([]string) error {
	old, err := c.version(c.env, strconv.FormatUint(c.Args.Version, 10))
	if err != nil {
		return err
	}
	current, err := c.version(c.env, "current")
	if err != nil {
		return err
	}
	return c.edit(c.env, old.Text, current.Version, time.Duration(c.TimeoutMS)*time.Millisecond)
}

// edit sends a text and waits until it is in force everywhere.
func (f *configurationFlags) edit(env *environment, text string, base uint64, timeout time.Duration) error {
	var applied appliedView
	err := f.request(env, http.MethodPost, "/v1/admin/configurations", editView{Text: text, BaseVersion: base}, &applied)
	if errors.Is(err, errUnreachable) {
		return errors.Wrapf(err, "no answer to the edit, which may have been accepted; the same command with --base %d is safe", base)
	}
	if err != nil {
		return err
	}
	if f.Output == "text" {
		env.printf("version %d accepted, based on %d: %s\n", applied.Version, base, applied.Changes)
	}
	return f.awaitInForce(env, &applied, timeout)
}

// awaitInForce asks which processes have a version in force, and prints each once it has.
func (f *configurationFlags) awaitInForce(env *environment, applied *appliedView, timeout time.Duration) error {
	began := time.Now()
	printed := map[string]bool{}
	path := fmt.Sprintf("/v1/admin/configurations/%d/in_force", applied.Version)
	for {
		var now appliedView
		err := f.request(env, http.MethodGet, path, nil, &now)
		if err == nil {
			applied.InForce, applied.Processes = now.InForce, now.Processes
			f.printInForce(env, applied, printed)
		}
		if applied.InForce {
			break
		}
		if time.Since(began) >= timeout {
			return f.notInForce(env, applied)
		}
		select {
		case <-env.ctx.Done():
			return f.notInForce(env, applied)
		case <-time.After(inForcePollInterval):
		}
	}
	if f.Output == "json" {
		return env.printJSON(applied)
	}
	env.printf("version %d is in force in all %d processes\n", applied.Version, len(applied.Processes))
	return nil
}

func (f *configurationFlags) printInForce(env *environment, applied *appliedView, printed map[string]bool) {
	for _, p := range applied.Processes {
		name := p.Role + " " + p.Address
		if f.Output == "text" && p.Version >= applied.Version && !printed[name] {
			printed[name] = true
			env.printf("  in force: %s\n", name)
		}
	}
}

func (f *configurationFlags) notInForce(env *environment, applied *appliedView) error {
	if f.Output == "json" {
		if err := env.printJSON(applied); err != nil {
			return err
		}
	}
	var waiting []string
	for _, p := range applied.Processes {
		if p.Version < applied.Version {
			waiting = append(waiting, p.describe())
		}
	}
	if len(waiting) == 0 {
		return errors.Newf("version %d is accepted, but entry %s does not say where it is in force", applied.Version, f.Entry)
	}
	return errors.Newf("version %d is accepted, but not yet in force in: %s", applied.Version, strings.Join(waiting, ", "))
}

func (p processView) describe() string {
	if !p.Connected {
		return fmt.Sprintf("%s %s (not connected)", p.Role, p.Address)
	}
	return fmt.Sprintf("%s %s (version %d)", p.Role, p.Address, p.Version)
}
