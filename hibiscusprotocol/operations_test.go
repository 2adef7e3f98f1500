package hibiscusprotocol

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// These tests compare docs/OPERATIONS.md with the code.

// operationsSection returns the text of one section of docs/OPERATIONS.md.
func operationsSection(name string) string {
	text, err := os.ReadFile("../docs/OPERATIONS.md")
	So(err, ShouldBeNil)
	_, section, found := strings.Cut(string(text), "\n## "+name+"\n")
	So(found, ShouldBeTrue)
	section, _, _ = strings.Cut(section, "\n## ")
	return section
}

var metricRow = regexp.MustCompile("^\\| `([a-z_]+)` \\| (entry|agent|both) \\| ([^|]+) \\| ([^|]+) \\|$")

// documentedMetrics returns the names that docs/OPERATIONS.md lists for a process.
func documentedMetrics(process string) []string {
	var names []string
	for line := range strings.Lines(operationsSection("Metrics")) {
		m := metricRow.FindStringSubmatch(strings.TrimSpace(line))
		if m != nil && (m[2] == process || m[2] == "both") {
			names = append(names, m[1])
		}
	}
	slices.Sort(names)
	return names
}

func servedMetrics(body string) []string {
	var vars map[string]json.RawMessage
	So(json.Unmarshal([]byte(body), &vars), ShouldBeNil)
	names := make([]string, 0, len(vars))
	for name := range vars {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// TestMetricsList guards against a metric that is not documented, a documented one that does not exist, a name clash between
// two processes in one program, and metrics that can be read without a token over the network.
func TestMetricsList(t *testing.T) {
	h, entry := newAdminEntry(1)
	defer entry.Stop()
	agent := hibiscuscoordination.NewAgent(hibiscuscoordination.NewIdentity(9, "10.0.2.1:7300", "a"), nil,
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	go agent.Run()
	defer agent.Stop()
	agentRouter := chi.NewRouter()
	NewAgentMetrics(agent, func() hibiscuscoordination.SessionCounters { return hibiscuscoordination.SessionCounters{} }).
		MountAgent(agentRouter, NewAdminAuth(adminToken, ""), agent.Ready)
	Convey("docs/OPERATIONS.md lists the metrics of an entry", t, func() {
		_, body := get(h, "/debug/vars", adminToken, "10.0.9.1:1")
		So(servedMetrics(body), ShouldResemble, documentedMetrics("entry"))
		So(body, ShouldContainSubstring, `"table_reads": 3`)
		So(body, ShouldContainSubstring, `"audit_dropped": 4`)
		So(body, ShouldContainSubstring, `"bus_dropped": 5`)
		So(body, ShouldContainSubstring, `"queue_full": 0`)
	})
	Convey("docs/OPERATIONS.md lists the metrics of an agent", t, func() {
		_, body := get(agentRouter, "/debug/vars", "", "127.0.0.1:9")
		So(servedMetrics(body), ShouldResemble, documentedMetrics("agent"))
	})
	Convey("An entry's metrics need a token, an agent's only from another VM", t, func() {
		status := func(h http.Handler, token, remote string) int {
			code, _ := get(h, "/debug/vars", token, remote)
			return code
		}
		So([]int{
			status(h, "", "127.0.0.1:9"), status(h, adminToken, "10.0.9.1:9"),
			status(agentRouter, "", "10.0.9.1:9"), status(agentRouter, adminToken, "10.0.9.1:9"), status(agentRouter, "", "[::1]:9"),
		}, ShouldResemble, []int{401, 200, 401, 200, 200})
	})
}

// TestRefusalsAreDocumented guards against a refusal or rejection that docs/OPERATIONS.md does not explain.
func TestRefusalsAreDocumented(t *testing.T) {
	Convey("docs/OPERATIONS.md has a row for every refusal and rejection", t, func() {
		text := operationsSection("Reading a refusal")
		for r := hibiscusstate.RefusalBadRequest; !strings.HasPrefix(r.String(), "Refusal("); r++ {
			So(text, ShouldContainSubstring, "\n| `"+r.String()+"` | ")
		}
		for r := hibiscusstate.RejectionNoFreeSlot; !strings.HasPrefix(r.String(), "Rejection("); r++ {
			So(text, ShouldContainSubstring, "\n| `"+r.String()+"` | ")
		}
	})
}

// TestSettingsAreDocumented guards against a setting that is not documented, and a documented one that does not exist.
func TestSettingsAreDocumented(t *testing.T) {
	Convey("docs/OPERATIONS.md has a row for every setting and for nothing else", t, func() {
		var documented, known []string
		for _, m := range settingRow.FindAllStringSubmatch(operationsSection("Processes and settings"), -1) {
			documented = append(documented, m[1])
		}
		for field := range reflect.TypeFor[settingsFile]().Fields() {
			known = append(known, field.Tag.Get("yaml"))
		}
		slices.Sort(documented)
		slices.Sort(known)
		So(documented, ShouldResemble, known)
	})
}

var (
	settingRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| (?:entry|agent|both) \\| (?:required|none|[0-9]+) \\|")
	logCall    = regexp.MustCompile(`(?i)\blog(?:ger\(\))?\.(?:Warn|Error)\("([^"]+)"`)
)

// TestWarningsAreDocumented guards against a warning or error in the log without documented instructions for operators.
func TestWarningsAreDocumented(t *testing.T) {
	Convey("docs/OPERATIONS.md has a row for every warning and error that a process logs", t, func() {
		text := operationsSection("Log lines that ask for a person")
		files, err := filepath.Glob("../hibiscus*/*.go")
		So(err, ShouldBeNil)
		adapter, err := filepath.Glob("../platform/*.go")
		So(err, ShouldBeNil)
		files = append(files, adapter...)
		n := 0
		for _, file := range files {
			source, err := os.ReadFile(file)
			So(err, ShouldBeNil)
			for _, m := range logCall.FindAllStringSubmatch(string(source), -1) {
				So(text, ShouldContainSubstring, "\n| `"+m[1]+"` | ")
				n++
			}
		}
		So(n, ShouldBeGreaterThan, 3)
	})
}
