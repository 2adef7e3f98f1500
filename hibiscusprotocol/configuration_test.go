package hibiscusprotocol

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/sebdah/goldie/v2"
	. "github.com/smartystreets/goconvey/convey"
)

const goodText = `services:
  - name: sighting
    depends_on: [taxonomy]
    kinds: [{name: list_sync, idempotent: false, urgent: true, run_ms: 400, deadline_ms: 5000}]
  - name: taxonomy
    kinds: [{name: lookup, idempotent: true, run_ms: 40, deadline_ms: 500}]
teams:
  - {name: nokkhao, share: 60, max_queued: 20_000}
`

// TestBadTexts guards against a text whose errors are not all named at once with their places, and against a document that
// comes out of a text with an error.
func TestBadTexts(t *testing.T) {
	paths, err := filepath.Glob("testdata/text/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatal("no texts", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			d, err := ParseConfiguration(name+".yaml", text)
			if d != nil || !errors.Is(err, ErrBadConfiguration) {
				t.Fatalf("document %v, error %v", d, err)
			}
			goldie.New(t, goldie.WithFixtureDir("testdata/text")).Assert(t, name, []byte(err.Error()+"\n"))
		})
	}
}

// TestGoodText guards against a correct text that is refused or read wrongly.
func TestGoodText(t *testing.T) {
	Convey("a correct text", t, func() {
		d, problems := CheckConfiguration([]byte(goodText))
		So(problems, ShouldBeEmpty)
		s, _ := d.Service("sighting")
		So(s.DependsOn(), ShouldResemble, []string{"taxonomy"})
		k, _ := s.Kind("list_sync")
		So(k.Urgent() && !k.Idempotent(), ShouldBeTrue)
		So([]int64{k.RunTime().Milliseconds(), k.Deadline().Milliseconds()}, ShouldResemble, []int64{400, 5000})
		team, _ := d.Team("nokkhao")
		So([]int{team.Share(), team.MaxQueued()}, ShouldResemble, []int{60, 20000})
	})
}

// FuzzCheckText guards against a text that makes the check panic.
func FuzzCheckText(f *testing.F) {
	f.Add([]byte(goodText))
	f.Add([]byte("services: &a [*a]\nteams: {? [x] : y}\n"))
	f.Fuzz(func(_ *testing.T, text []byte) { CheckConfiguration(text) })
}
