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

// TestLogReserve guards against a log in which the lines about jobs leave no room for the one that explains them: an entry under
// load did not say that it was stopping.
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
	Convey("A line about no job is written though those about jobs are dropped", t, func() {
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		// Beside it is the one that counts the dropped lines.
		So(len(lines), ShouldEqual, logBurst-logReserve+2)
		So(lines[len(lines)-2], ShouldContainSubstring, fmt.Sprintf("lines=%d", 10*logBurst-(logBurst-logReserve)))
		So(lines[len(lines)-1], ShouldContainSubstring, "entry: draining")
	})
}
