package hibiscuscapacity

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscusprotocol"
)

// TestConfigurationTexts guards against configurations of the measurements that the configuration checker no longer
// accepts; the command takes minutes and runs in no other test.
func TestConfigurationTexts(t *testing.T) {
	convey.Convey("the configurations are valid", t, func() {
		for _, text := range []string{harnessText, configurationText(50, 67)} {
			_, err := hibiscusprotocol.ParseConfiguration("text", []byte(text))
			convey.So(err, convey.ShouldBeNil)
		}
	})
}
