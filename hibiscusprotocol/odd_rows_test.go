package hibiscusprotocol_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusprotocol"
	"hibiscusrouter/hibiscusstate"
)

// TestOddRows guards against a list of rows that can't be read because another writer left one odd row in it: processes no longer
// followed the list of entries, and the audit trail could be neither read nor archived.
func TestOddRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTableHarness(t)
		defer b.close()
		ctx, log := context.Background(), slog.New(slog.DiscardHandler)
		members, audit := hibiscusprotocol.NewMemberStore(b.table, log), hibiscusprotocol.NewAuditStore(b.table, log)
		must := func(err error) {
			t.Helper()
			if err != nil {
				t.Fatal(err)
			}
		}
		must(members.Put(ctx, hibiscuscoordination.NewMemberRow(
			hibiscuscoordination.NewMember(hibiscusstate.Incarnation(1), "10.0.1.1:7200", "a", 1), 0)))
		must(audit.Write(ctx, []hibiscuscoordination.AuditEntry{
			hibiscuscoordination.NewAuditEntry(time.Now(), "operator Asha", "10.0.9.1", "drained", 0, 0),
		}))
		deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
		for i, value := range []string{
			"", "{", "7", deep, `{"incarnation":1e300}`, `{"incarnation":"x"}`, `{"address":"10.0.1.7:70000","time":"yesterday"}`,
			`{"incarnation":1,"address":"10.0.1.7:7200","heartbeat":9,"time":5}`,
		} {
			tx := hibiscusprotocol.NewTransaction()
			tx.Put(fmt.Sprintf("members/odd%d", i), value, 0).Put(fmt.Sprintf("audit/000000000000001-odd%d", i), value, 0)
			must(b.table.Commit(ctx, tx))
		}
		rows, err := members.List(ctx)
		for _, r := range rows {
			b.logf("member %d at %s", r.Member().Incarnation(), r.Member().Address())
		}
		b.logf("list of members: %v", err)
		readAudit := func() {
			entries, err := audit.Read(ctx, 100)
			for _, e := range entries {
				b.logf("audit: %s %s", e.Who(), e.What())
			}
			b.logf("audit trail: %v", err)
		}
		readAudit()
		archived, err := audit.Archive(ctx, time.Now().Add(time.Hour))
		b.logf("archived: %d, %v, %d rows stay", archived, err, b.rows("audit/"))
		readAudit()
		goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "odd_rows", []byte(b.transcript.String()))
	})
}

// TestDeeplyNestedTexts guards against a text whose nesting exceeds the stack of the parser, which ends the process. It comes from an
// operator, a peer or a settings file.
func TestDeeplyNestedTexts(t *testing.T) {
	const levels = 300_000
	var lines []string
	for _, c := range []struct{ name, text string }{
		{"JSON", `{"services":` + strings.Repeat("[", levels) + strings.Repeat("]", levels) + "}"},
		{"half a JSON text", `{"services":` + strings.Repeat("[", levels)},
		{"JSON objects", strings.Repeat(`{"a":`, levels)},
		{"YAML flow sequences", "services: " + strings.Repeat("[", levels)},
		{"YAML block sequences on one line", "services:\n  " + strings.Repeat("- ", levels) + "a"},
		{"YAML complex keys", strings.Repeat("? ", levels) + "a"},
		{"YAML tags", "services: " + strings.Repeat("!a ", levels) + "a"},
		{"brackets in a text", "services: \"" + strings.Repeat("[", 200) + "\"\nteams: []"},
		{"a long list on one line", "services: [" + strings.Repeat("{a: [1]}, ", 1000) + "]"},
	} {
		_, err := hibiscusprotocol.ParseConfiguration("text", []byte(c.text))
		message, _, _ := strings.Cut(err.Error(), "\n")
		_, settingsErr := hibiscusprotocol.ParseEntrySettings("settings", []byte(c.text))
		// Of several unknown fields, the YAML library names any one.
		tooDeep := strings.Contains(settingsErr.Error(), "nested more than")
		lines = append(lines, fmt.Sprintf("%s: %.100s; as settings refused for its nesting: %t", c.name, message, tooDeep))
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "deeply_nested_texts", []byte(strings.Join(lines, "\n")+"\n"))
}
