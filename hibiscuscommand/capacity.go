package hibiscuscommand

import (
	"encoding/json"

	"hibiscusrouter/hibiscuscapacity"
)

const capacityHelp = "Measures the cost of one more session, task, message, team or KiB of configuration, in one process over " +
	"loopback, at three sizes or more each, with the error of the fitted line. Takes about three minutes."

type capacityCommand struct {
	env    *environment
	Output string `long:"output" default:"text" choice:"text" choice:"json" description:"output format"`
}

type slopeView struct {
	Name      string    `json:"name"`
	Unit      string    `json:"unit"`
	Per       string    `json:"per"`
	Sizes     []float64 `json:"sizes"`
	Values    []float64 `json:"values"`
	Slope     float64   `json:"slope"`
	Error     float64   `json:"slope_error"`
	Intercept float64   `json:"intercept"`
}

// Execute implements flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	slopes, err := hibiscuscapacity.Measure(c.env.ctx)
	if err != nil {
		return err
	}
	views := make([]slopeView, len(slopes))
	for i, s := range slopes {
		views[i] = slopeView{
			Name: s.Name(), Unit: s.Unit(), Per: s.Per(), Sizes: s.Sizes(), Values: s.Values(),
			Slope: s.Slope(), Error: s.Err(), Intercept: s.Intercept(),
		}
	}
	if c.Output == "json" {
		raw, err := json.MarshalIndent(views, "", "  ")
		if err != nil {
			return err
		}
		c.env.printf("%s\n", raw)
		return nil
	}
	for _, v := range views {
		c.env.printf("%s: %.4g ± %.2g %s for each %s, %.4g at zero\n", v.Name, v.Slope, v.Error, v.Unit, v.Per, v.Intercept)
		for i := range v.Sizes {
			c.env.printf("  %10.5g  %12.5g\n", v.Sizes[i], v.Values[i])
		}
	}
	return nil
}
