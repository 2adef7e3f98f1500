package hibiscusprotocol

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"hibiscusrouter/hibiscuscoordination"
	"hibiscusrouter/hibiscusstate"
)

// maxKindAllocations bounds the cost of parsing a kind. An entry with a fifth of a core has to parse 350 kinds within the
// 200 ms that a caller's connection may wait for a response, besides its other work: 40 allocations for each of a kind's nine
// fields, at 100 ns each, are 13 ms.
const maxKindAllocations = 360

// jsonConfiguration returns a configuration of n kinds in JSON, as a program generates it.
func jsonConfiguration(n int) string {
	kinds := make([]string, n)
	for i := range kinds {
		kinds[i] = fmt.Sprintf(`{"name":"k-%d","run_ms":250,"deadline_ms":5000,"host":"h%d.example","path_prefix":"/q%d/",`+
			`"attempts":2,"priority":1,"stretch":1.6,"target_ms":60}`, i, i, i)
	}
	return `{"services":[{"name":"svc","kinds":[` + strings.Join(kinds, ",") + "]}],\n" + `"teams":[{"name":"t","share":1,"max_queued":5}]}`
}

// TestLargeConfigurations guards against a configuration change that delays callers by using the processor: with the YAML parser, 350
// kinds took 23 ms, and an entry with a fifth of a core sent no response for 200 ms.
func TestLargeConfigurations(t *testing.T) {
	text := []byte(jsonConfiguration(350))
	Convey("A JSON configuration is cheap to parse and gives the same document as with the YAML parser", t, func() {
		allocations := testing.AllocsPerRun(3, func() {
			if _, err := ParseConfiguration("text", text); err != nil {
				t.Fatal(err)
			}
		})
		So(allocations/350, ShouldBeLessThan, maxKindAllocations)
		document, err := ParseConfiguration("text", text)
		So(err, ShouldBeNil)
		// With a leading blank, the YAML parser is used.
		asYAML, err := ParseConfiguration("text", append([]byte(" "), text...))
		So(err, ShouldBeNil)
		So(document, ShouldResemble, asYAML)
	})
	Convey("Its problems have the right line numbers", t, func() {
		_, problems := CheckConfiguration([]byte("{\"services\":[{\"name\":\"svc\",\n\"kinds\":[{\"name\":\"a\",\"run_ms\":\"x\",\"deadline_ms\":5}]}],\n\"teams\":[]}"))
		lines := []string{}
		for _, p := range problems {
			lines = append(lines, fmt.Sprintf("%d: %s", p.Line(), p.Message()))
		}
		So(lines, ShouldResemble, []string{
			`2: run_ms is "x"; expected a whole number from 1 to 3600000`, `3: teams is an empty list; expected at least one`,
		})
	})
}

// TestRepeatedConfiguration guards against a process that parses the same version again for each entry that sends it.
func TestRepeatedConfiguration(t *testing.T) {
	Convey("Two frames with the same version give the same configuration", t, func() {
		text := jsonConfiguration(2)
		document, err := ParseConfiguration("text", []byte(text))
		So(err, ShouldBeNil)
		frame, err := EncodeFrame(nil, hibiscuscoordination.NewConfigurationMessage(hibiscusstate.NewConfiguration(7, text, document)))
		So(err, ShouldBeNil)
		first, err := DecodeFrame(frame)
		So(err, ShouldBeNil)
		second, err := DecodeFrame(frame)
		So(err, ShouldBeNil)
		So(second.Configuration(), ShouldPointTo, first.Configuration())
	})
}
