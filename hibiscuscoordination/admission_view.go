package hibiscuscoordination

import (
	"math"
	"time"

	"hibiscusrouter/hibiscusscheduling"
)

// What operators see of the admission of jobs with objectives: how the jobs were classified, which part of its offered work each kind gets,
// and how good the forecast of the capacity was.

const (
	// forecastCheckTicks is after how many ticks of 100 ms a forecast is compared with the slots that the entry's tasks then use.
	forecastCheckTicks = 5
	// forecastErrorWeight is the weight of the newest comparison in the mean error.
	forecastErrorWeight = 1.0 / 16
)

// admissionTotals count the classified jobs of a service.
type admissionTotals struct {
	inTime         uint64
	late           uint64
	refused        uint64
	refusedWaiting uint64
	abandoned      uint64
}

// forecastCheck compares forecasts with the capacity that was obtained, while jobs wait and capacity is thus in full use.
type forecastCheck struct {
	forecasts [forecastCheckTicks]float64
	ticks     int
	obtained  int
	err       float64
}

// observe records the forecast of now and the slots that the entry's tasks use. waitingFor is how long jobs have been waiting without a
// break.
func (c *forecastCheck) observe(forecast float64, obtained int, waitingFor time.Duration) {
	i := c.ticks % forecastCheckTicks
	c.ticks++
	earlier := c.forecasts[i]
	c.forecasts[i] = forecast
	c.obtained = obtained
	if earlier > 0 && obtained > 0 && waitingFor > forecastCheckTicks*tickInterval {
		c.err += (math.Abs(earlier-float64(obtained))/float64(obtained) - c.err) * forecastErrorWeight
	}
}

// AdmissionSnapshot is one entry's view of the admission of jobs with objectives to a service.
type AdmissionSnapshot struct {
	totals        admissionTotals
	forecast      float64
	obtained      int
	forecastError float64
	kinds         []KindShare
}

// KindShare is the part of the lately offered work of a kind that an entry served, and the part that it should get.
type KindShare struct {
	kind   string
	served float64
	target float64
}

// Kind returns the name of the kind.
func (k KindShare) Kind() string { return k.kind }

// Served returns the part of the offered work that was served.
func (k KindShare) Served() float64 { return k.served }

// Target returns the part of the offered work that the kind should get.
func (k KindShare) Target() float64 { return k.target }

// InTime returns the number of jobs that were admitted as in time.
func (a *AdmissionSnapshot) InTime() uint64 { return a.totals.inTime }

// Late returns the number of jobs that were admitted as late but useful.
func (a *AdmissionSnapshot) Late() uint64 { return a.totals.late }

// Refused returns the number of jobs that were refused on arrival for lack of capacity.
func (a *AdmissionSnapshot) Refused() uint64 { return a.totals.refused }

// RefusedWaiting returns the number of admitted jobs that were refused before anything of them had started.
func (a *AdmissionSnapshot) RefusedWaiting() uint64 { return a.totals.refusedWaiting }

// Abandoned returns the number of admitted jobs that were given up because a task could not be done before the job expired.
func (a *AdmissionSnapshot) Abandoned() uint64 { return a.totals.abandoned }

// Forecast returns the capacity that the entry expects to use now, in slots.
func (a *AdmissionSnapshot) Forecast() float64 { return a.forecast }

// Obtained returns the slots that the entry's tasks used at the last tick.
func (a *AdmissionSnapshot) Obtained() int { return a.obtained }

// ForecastError returns the mean difference between the forecast of half a second before and the obtained slots, as a part of these,
// while jobs waited.
func (a *AdmissionSnapshot) ForecastError() float64 { return a.forecastError }

// Kinds returns the shares of the kinds, sorted by name.
func (a *AdmissionSnapshot) Kinds() []KindShare { return a.kinds }

// admissionSnapshot returns the view of the admission, nil for a service without objectives.
func (p *pool) admissionSnapshot() *AdmissionSnapshot {
	if !p.objectives {
		return nil
	}
	a := &AdmissionSnapshot{
		totals: p.admissions, forecast: p.forecast.Slots(0), obtained: p.forecastCheck.obtained, forecastError: p.forecastCheck.err,
	}
	for _, name := range p.kindShares.Names() {
		served, target := p.kindShares.Part(name)
		a.kinds = append(a.kinds, KindShare{kind: name, served: served, target: target})
	}
	return a
}

// countVerdict counts a job that was classified on arrival.
func (t *admissionTotals) countVerdict(v hibiscusscheduling.Verdict) {
	switch v {
	case hibiscusscheduling.VerdictInTime:
		t.inTime++
	case hibiscusscheduling.VerdictLate:
		t.late++
	case hibiscusscheduling.VerdictRefused:
		t.refused++
	}
}
