package hibiscusprotocol

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"hibiscusrouter/hibiscusstate"
)

// The operators' text is YAML:
//
//	services:
//	  - name: sighting
//	    depends_on: [taxonomy]
//	    kinds:
//	      - {name: list_sync, idempotent: false, urgent: true, run_ms: 400, deadline_ms: 5000}
//	teams:
//	  - {name: nokkhao, share: 60, max_queued: 20000}

type textDocument struct {
	Services []textService `yaml:"services"`
	Teams    []textTeam    `yaml:"teams"`
}

type textService struct {
	Name      string     `yaml:"name"`
	DependsOn []string   `yaml:"depends_on"`
	Kinds     []textKind `yaml:"kinds"`
}

type textKind struct {
	Name       string `yaml:"name"`
	Idempotent bool   `yaml:"idempotent"`
	Urgent     bool   `yaml:"urgent"`
	RunMS      int64  `yaml:"run_ms"`
	DeadlineMS int64  `yaml:"deadline_ms"`
}

type textTeam struct {
	Name      string `yaml:"name"`
	Share     int    `yaml:"share"`
	MaxQueued int    `yaml:"max_queued"`
}

// ParseText returns the document of an operators' text; name stands for the file in errors, which are marked ErrBadText.
func ParseText(name string, text []byte) (*hibiscusstate.Document, error) {
	var d textDocument
	if err := unmarshalYAML(text, &d); err != nil {
		return nil, errors.Mark(errors.Newf("%s: %s", name, yaml.FormatError(err, false, false)), ErrBadText)
	}
	services := make([]hibiscusstate.Service, len(d.Services))
	for i, s := range d.Services {
		kinds := make([]hibiscusstate.Kind, len(s.Kinds))
		for j, k := range s.Kinds {
			kinds[j] = hibiscusstate.NewKind(k.Name, k.Idempotent, k.Urgent, milliseconds(k.RunMS), milliseconds(k.DeadlineMS))
		}
		services[i] = hibiscusstate.NewService(s.Name, s.DependsOn, kinds)
	}
	teams := make([]hibiscusstate.Team, len(d.Teams))
	for i, t := range d.Teams {
		teams[i] = hibiscusstate.NewTeam(t.Name, t.Share, t.MaxQueued)
	}
	return hibiscusstate.NewDocument(services, teams), nil
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
