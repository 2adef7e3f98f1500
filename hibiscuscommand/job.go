package hibiscuscommand

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// The job command prints job files that look like the users': their payloads are made from the task's number alone, so
// that two runs print the same bytes and a job can be submitted again under its key.

const jobHelp = "Prints a job file with payloads like those of the two users, for submit and load. The same flags print the " +
	"same bytes. The endpoint's stand-in takes run_ms of a payload as the time that the task runs."

type jobCommand struct {
	env   *environment
	User  string `long:"user" default:"nokkhao" choice:"nokkhao" choice:"port_louis" description:"whose work"`
	Tasks int    `long:"tasks" default:"1800" value-name:"N" description:"number of tasks, at most 1800 are taken in one job"`
	RunMS int64  `long:"run-ms" default:"-1" value-name:"MS" description:"run time of every task, -1 for that of its kind"`
}

type jobFile struct {
	Team       string    `json:"team"`
	Service    string    `json:"service"`
	DeadlineMS int64     `json:"deadline_ms"`
	Tasks      []jobTask `json:"tasks"`
}

type jobTask struct {
	Kind    string `json:"kind"`
	Payload any    `json:"payload"`
}

type sightingPayload struct {
	Species string `json:"species"`
	Place   string `json:"place"`
	Date    string `json:"date"`
	RunMS   int64  `json:"run_ms"`
}

type photoPayload struct {
	Photo   string `json:"photo"`
	Bytes   int    `json:"bytes"`
	Species string `json:"species"`
	RunMS   int64  `json:"run_ms"`
}

type listPayload struct {
	Birder       string `json:"birder"`
	List         string `json:"list"`
	SpeciesCount int    `json:"species_count"`
	RunMS        int64  `json:"run_ms"`
}

type dossierPayload struct {
	Dossier     string    `json:"dossier"`
	Registrant  string    `json:"registrant"`
	Substance   substance `json:"substance"`
	TonnageBand string    `json:"tonnage_band"`
	RunMS       int64     `json:"run_ms"`
}

type substance struct {
	Name string `json:"name"`
	CAS  string `json:"cas"`
	EC   string `json:"ec"`
}

var (
	exampleSpecies = []string{"Pitta gurneyi", "Calidris pygmaea", "Buceros bicornis", "Ketupa ketupu", "Pavo muticus"}
	examplePlaces  = []string{"Khao Nor Chuchi", "Pak Thale", "Doi Inthanon", "Kaeng Krachan", "Khao Yai"}
	exampleFirms   = []string{"Moka Solvents Ltd", "Le Morne Chemicals", "Curepipe Coatings"}
	exampleBands   = []string{"1-10", "10-100", "100-1000", "1000+"}

	exampleSubstances = []substance{
		{Name: "ethyl acetate", CAS: "141-78-6", EC: "205-500-4"},
		{Name: "acetone", CAS: "67-64-1", EC: "200-662-2"},
		{Name: "toluene", CAS: "108-88-3", EC: "203-625-9"},
	}
)

// Execute implements flags.Commander.
func (c *jobCommand) Execute([]string) error {
	if c.Tasks < 1 {
		return errors.Mark(errors.New("--tasks must be at least 1"), errUsage)
	}
	raw, err := json.Marshal(exampleJob(c.User, c.Tasks, c.RunMS))
	if err != nil {
		return err
	}
	c.env.printf("%s\n", raw)
	return nil
}

// exampleJob returns a job of n tasks of a user; runMS is the run time of each, negative for that of its kind.
func exampleJob(user string, n int, runMS int64) jobFile {
	job := jobFile{Team: user, Service: "sighting", DeadlineMS: (2 * time.Minute).Milliseconds(), Tasks: make([]jobTask, n)}
	task := sightingTask
	if user == "port_louis" {
		job.Service = "validation"
		task = dossierTask
	}
	for i := range job.Tasks {
		job.Tasks[i] = task(i, runMS)
	}
	return job
}

// sightingTask returns the work of a birder's morning: most of it plausibility checks, some photos, a list at the end.
func sightingTask(i int, runMS int64) jobTask {
	species := exampleSpecies[i%len(exampleSpecies)]
	switch i % 10 {
	case 3, 6:
		return jobTask{Kind: "photo_match", Payload: photoPayload{
			Photo: fmt.Sprintf("dawn-%04d.jpg", i), Bytes: 1_000_000 + i*977, Species: species, RunMS: runTimeOrDefault(runMS, 700),
		}}
	case 9:
		return jobTask{Kind: "list_sync", Payload: listPayload{
			Birder: fmt.Sprintf("b-%04d", i), List: fmt.Sprintf("2026-12-04-%d", i), SpeciesCount: i % 90, RunMS: runTimeOrDefault(runMS, 300),
		}}
	default:
		return jobTask{Kind: "plausibility_check", Payload: sightingPayload{
			Species: species, Place: examplePlaces[i/7%len(examplePlaces)], Date: "2026-12-04", RunMS: runTimeOrDefault(runMS, 80),
		}}
	}
}

// dossierTask returns the three checks of one dossier after another.
func dossierTask(i int, runMS int64) jobTask {
	kinds := []struct {
		name  string
		runMS int64
	}{{"completeness_check", 120}, {"substance_identity_check", 450}, {"tonnage_band_check", 80}}
	kind, dossier := kinds[i%len(kinds)], i/len(kinds)
	return jobTask{Kind: kind.name, Payload: dossierPayload{
		Dossier: fmt.Sprintf("d-%05d", 10_000+dossier), Registrant: exampleFirms[dossier%len(exampleFirms)],
		Substance: exampleSubstances[dossier%len(exampleSubstances)], TonnageBand: exampleBands[dossier%len(exampleBands)],
		RunMS: runTimeOrDefault(runMS, kind.runMS),
	}}
}

func runTimeOrDefault(runMS, kindRunMS int64) int64 {
	if runMS < 0 {
		return kindRunMS
	}
	return runMS
}
