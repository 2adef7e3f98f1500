package hibiscuscommand

import (
	"bytes"
	"context"
	"regexp"
	"runtime"
	"testing"

	"github.com/sebdah/goldie/v2"
	"github.com/smartystreets/goconvey/convey"
)

// TestDemo guards against a demo, the first command of the README, that fails or prints an incomplete answer.
func TestDemo(t *testing.T) {
	// yamux keeps timers in a sync.Pool, and one of an earlier synctest bubble must not be used here. Two garbage collections
	// empty the pool.
	runtime.GC()
	runtime.GC()
	var out, errOut bytes.Buffer
	code := RunContext(context.Background(), []string{"demo"}, &out, &errOut)
	convey.Convey("the demo succeeds without warnings", t, func() {
		convey.So(code, convey.ShouldEqual, exitOK)
		convey.So(errOut.String(), convey.ShouldBeEmpty)
	})
	answer := regexp.MustCompile(`(?s)job hr1-.*`).Find(out.Bytes())
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "demo", regexp.MustCompile(`hr1-[-0-9a-f]+`).ReplaceAll(answer, []byte("KEY")))
}
