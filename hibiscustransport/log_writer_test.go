package hibiscustransport

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

// TestLogReserve guards against lines about jobs that use up the rate limit, so that the line that explains them is dropped: the
// log of an entry under load did not show that it was stopping.
func TestLogReserve(t *testing.T) {
	var out bytes.Buffer
	synctest.Test(t, func(*testing.T) {
		w := NewLogWriter(&out)
		log := slog.New(slog.NewTextHandler(w, nil))
		for i := range 10 * logBurst {
			log.Info("callers: job answered", "job", fmt.Sprint(i))
		}
		log.Info("entry: draining", "cause", "the process was asked to stop")
		w.Close()
	})
	Convey("A line that is not about a job is written while lines about jobs are dropped", t, func() {
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		// The other extra line reports the number of dropped lines.
		So(len(lines), ShouldEqual, logBurst-logReserve+2)
		So(lines[len(lines)-2], ShouldContainSubstring, fmt.Sprintf("lines=%d", 10*logBurst-(logBurst-logReserve)))
		So(lines[len(lines)-1], ShouldContainSubstring, "entry: draining")
	})
}
