package hibiscusmeasure

import (
	"math"
	"math/rand/v2"
	"time"
)

// The demand of a scenario: jobs with their tasks and arrival times, generated from the seed alone, so that every policy gets the
// same demand.

const (
	// rateVariation is the maximum deviation of the arrival rate from its mean, drawn again every rateInterval.
	rateVariation = 0.15
	rateInterval  = time.Second
	// severalSecondsFraction is the fraction of tasks that run 2 s to 6 s.
	severalSecondsFraction = 0.005
	// longEvery and longFactor make one of 100 tasks a hundred times as long.
	longEvery  = 100
	longFactor = 100
	// longBudget is the deadline of a job whose task is a hundred times as long.
	longBudget = 10 * time.Minute
	// maxSubmissions is the maximum number of submissions of a job by its caller.
	maxSubmissions = 4
)

// phase is a period of a scenario with a mean load, as a fraction of the capacity of all slots.
type phase struct {
	length time.Duration
	load   float64
}

// scenario describes the demand and the faulty workers.
type scenario struct {
	name    string
	warmUp  time.Duration
	phases  []phase
	long    bool
	single  bool
	failing int // worker that fails every task, -1 for none
	slow    int // worker that takes slowFactor times as long, -1 for none
}

// job is a caller's job, with the actual run times of its tasks.
type job struct {
	number   int
	arrival  time.Duration
	entry    int
	team     string
	budget   time.Duration
	tasks    []task
	longJob  bool
	measured bool
	// named jobs have a name and an objective, as on the users' platform.
	named bool
}

type task struct {
	kind     string
	runTime  time.Duration
	declared time.Duration
	size     int
	slots    int
}

func (j *job) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.tasks {
		longest = max(longest, t.runTime)
	}
	return longest
}

func (j *job) work() time.Duration {
	sum := time.Duration(0)
	for _, t := range j.tasks {
		sum += t.runTime
	}
	return sum
}

func (s scenario) length() time.Duration {
	sum := time.Duration(0)
	for _, p := range s.phases {
		sum += p.length
	}
	return sum
}

// jobs returns the jobs of a scenario in order of arrival.
func (s scenario) jobs(d *Deployment, seed uint64) []*job {
	meanWork := s.meanWork(d)
	rng := rand.New(rand.NewPCG(seed, 1))
	var jobs []*job
	drawn := 0
	begin := time.Duration(0)
	for _, p := range s.phases {
		end := begin + p.length
		level := 1.0
		next := begin
		for at := begin; ; {
			if at >= next {
				level = 1 - rateVariation + 2*rateVariation*rng.Float64()
				next += rateInterval
			}
			rate := p.load * level * float64(d.capacity()) / meanWork.Seconds()
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			j := s.job(d, rng, &drawn)
			j.number = len(jobs)
			j.arrival = at
			j.measured = at >= s.warmUp
			jobs = append(jobs, j)
		}
		begin = end
	}
	return jobs
}

// meanWork returns the mean total run time of a job's tasks, from a separate sample.
func (s scenario) meanWork(d *Deployment) time.Duration {
	const sample = 100_000
	rng := rand.New(rand.NewPCG(0, 2))
	drawn := 0
	sum := time.Duration(0)
	for range sample {
		sum += s.job(d, rng, &drawn).work()
	}
	return sum / sample
}

// job draws one job; two thirds of the jobs have one task, the others up to eight.
func (s scenario) job(d *Deployment, rng *rand.Rand, drawn *int) *job {
	n := 1
	if rng.Float64() < 1.0/3 && !s.single {
		n = 2 + rng.IntN(7)
	}
	j := &job{entry: weightedIndex(rng, d.entries), team: d.teams[weightedIndex(rng, d.shares)].Name()}
	for range n {
		k := d.kind(rng)
		*drawn++
		t := task{kind: k.name, runTime: logUniform(rng, k.shortest, k.longest)}
		j.budget = max(j.budget, k.budget)
		if rng.Float64() < severalSecondsFraction && !s.single {
			t.runTime = logUniform(rng, 2*time.Second, 6*time.Second)
			j.budget = 20 * time.Second
		}
		// The declared run time is wrong by a factor of up to ten either way, and the payload's size by up to three.
		t.size = int(float64(t.runTime.Milliseconds()) * math.Pow(3, 2*rng.Float64()-1))
		t.declared = time.Duration(float64(t.runTime) * math.Pow(10, 2*rng.Float64()-1))
		if s.long && *drawn%longEvery == 0 {
			// For these, the size is not informative; the declared run time is, with its error.
			t.runTime *= longFactor
			t.declared *= longFactor
			j.budget = longBudget
			j.longJob = true
		}
		j.tasks = append(j.tasks, t)
	}
	return j
}

func (d *Deployment) kind(rng *rand.Rand) kind {
	probabilities := make([]float64, len(d.kinds))
	for i, k := range d.kinds {
		probabilities[i] = k.fraction
	}
	return d.kinds[weightedIndex(rng, probabilities)]
}

// weightedIndex returns a random index, each with its probability.
func weightedIndex(rng *rand.Rand, probabilities []float64) int {
	x := rng.Float64()
	for i, p := range probabilities {
		x -= p
		if x < 0 {
			return i
		}
	}
	return len(probabilities) - 1
}

// logUniform returns a log-uniform random duration between two bounds.
func logUniform(rng *rand.Rand, shortest, longest time.Duration) time.Duration {
	ratio := float64(longest) / float64(shortest)
	return time.Duration(float64(shortest) * math.Pow(ratio, rng.Float64()))
}
