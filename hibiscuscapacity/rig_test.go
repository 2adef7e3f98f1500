package hibiscuscapacity

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusprotocol"
)

// TestTexts guards against texts of the measurements that the text check no longer accepts; the command takes minutes and
// runs in no other test.
func TestTexts(t *testing.T) {
	convey.Convey("the texts are valid", t, func() {
		for _, text := range []string{rigText, textOf(50, 67)} {
			_, err := hibiscusprotocol.ParseConfiguration("text", []byte(text))
			convey.So(err, convey.ShouldBeNil)
		}
	})
}
