package hibiscusmeasure

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hibiscusrouter/hibiscusstate"
)

// ErrUnknownDeployment means that no deployment has the given name.
var ErrUnknownDeployment = errors.New("unknown deployment")

const (
	workers        = 11
	slotsPerWorker = 8
	workersPerRack = 3
	// clientLatency is the one-way latency between a caller and an entry, domainLatency that within a failure domain.
	clientLatency = time.Millisecond
	domainLatency = 100 * time.Microsecond
)

// Deployment is one of the two measured deployments.
type Deployment struct {
	name    string
	service string
	latency time.Duration
	entries []float64
	kinds   []kind
	teams   []hibiscusstate.Team
	shares  []float64
	// workerSlots are the slots of each worker, and speeds the relative speeds, repeated over the workers; nil means 1.
	workerSlots []int
	speeds      []float64
	// configured are the kinds of the configuration; nil means those of kinds, without objectives.
	configured []hibiscusstate.Kind
}

// kind is a kind of task, whose run times have a log-uniform distribution between two bounds.
type kind struct {
	name     string
	fraction float64
	shortest time.Duration
	longest  time.Duration
	budget   time.Duration
}

// FindDeployment returns port_louis or nokkhao, and ErrUnknownDeployment for any other name.
func FindDeployment(name string) (*Deployment, error) {
	switch name {
	case "port_louis":
		return &Deployment{
			name: name, service: "validation", latency: 500 * time.Microsecond,
			entries: []float64{0.5, 0.3, 0.2},
			kinds: []kind{
				{"format_check", 0.4, 50 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second},
				{"reference_check", 0.4, 100 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second},
				{"dossier_check", 0.2, 300 * time.Millisecond, time.Second, 5 * time.Second},
			},
			teams: []hibiscusstate.Team{
				hibiscusstate.NewTeam("filing", 60, 20_000), hibiscusstate.NewTeam("review", 30, 20_000),
				hibiscusstate.NewTeam("archive", 10, 20_000),
			},
			shares: []float64{0.5, 0.3, 0.2}, workerSlots: slices.Repeat([]int{slotsPerWorker}, workers),
		}, nil
	case "nokkhao":
		return &Deployment{
			name: name, service: "sighting", latency: 1500 * time.Microsecond,
			entries: []float64{0.4, 0.3, 0.2, 0.1},
			kinds: []kind{
				{"plausibility_check", 0.6, 50 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second},
				{"photo_match", 0.25, 400 * time.Millisecond, time.Second, 5 * time.Second},
				{"list_sync", 0.15, 100 * time.Millisecond, 600 * time.Millisecond, 5 * time.Second},
			},
			teams: []hibiscusstate.Team{
				hibiscusstate.NewTeam("guides", 50, 20_000), hibiscusstate.NewTeam("birders", 40, 20_000),
				hibiscusstate.NewTeam("survey", 10, 20_000),
			},
			shares: []float64{0.4, 0.4, 0.2}, workerSlots: slices.Repeat([]int{slotsPerWorker}, workers),
		}, nil
	default:
		return nil, errors.Wrapf(ErrUnknownDeployment, "%q, expected port_louis or nokkhao", name)
	}
}

// Name returns the name of the deployment.
func (d *Deployment) Name() string { return d.name }

// configuration returns the configuration of the deployment; the declared run time is the middle of the kind's range.
func (d *Deployment) configuration() *hibiscusstate.Configuration {
	kinds := d.configured
	if kinds == nil {
		for _, k := range d.kinds {
			kinds = append(kinds, hibiscusstate.NewKind(k.name, false, true, (k.shortest+k.longest)/2, k.budget))
		}
	}
	service := hibiscusstate.NewService(d.service, nil, kinds)
	return hibiscusstate.NewConfiguration(1, "", hibiscusstate.NewDocument([]hibiscusstate.Service{service}, d.teams))
}

// linkLatency returns the one-way latency between an entry and a worker.
func (d *Deployment) linkLatency(entry, worker int) time.Duration {
	if entry == worker/workersPerRack%len(d.entries) {
		return domainLatency
	}
	return d.latency
}

// roundTrips returns the minimum time on links for a task whose worker is in another failure domain.
func (d *Deployment) roundTrips() time.Duration { return 2*clientLatency + 2*d.latency }

// capacity returns the number of slots of all workers.
func (d *Deployment) capacity() int { return workers * slotsPerWorker }
