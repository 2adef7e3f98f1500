package hibiscuscommand

import (
	"os"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusmeasure"
)

const measureHelp = "Measures the decisions of the dispatcher in virtual time, with fake endpoints and links, against a " +
	"baseline: response ratio, head-of-line ratio, crest service, wasted messages. The same seed gives the same results."

type measureCommand struct {
	env        *environment
	Deployment string `long:"deployment" required:"true" choice:"port_louis" choice:"nokkhao" description:"deployment to measure, required"`
	Seed       uint64 `long:"seed" default:"1" value-name:"N" description:"seed of the load and of all jitter"`
	Output     string `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
	Plot       string `long:"plot" value-name:"FILE.svg" description:"write response times and the load peak over time as SVG"`
}

// Execute implements flags.Commander.
func (c *measureCommand) Execute([]string) error {
	d, err := hibiscusmeasure.FindDeployment(c.Deployment)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	report := hibiscusmeasure.Measure(d, hibiscusmeasure.NewOptions(c.Seed))
	if c.Plot != "" {
		svg, err := report.SVG()
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.Plot, svg, 0o644); err != nil {
			return errors.Mark(err, errUsage)
		}
	}
	if c.Output == "text" {
		c.env.printf("%s", report.Text())
		return nil
	}
	raw, err := report.JSON()
	if err != nil {
		return err
	}
	c.env.printf("%s", raw)
	return nil
}
