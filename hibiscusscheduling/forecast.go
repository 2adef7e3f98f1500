package hibiscusscheduling

import "time"

// Forecast is the capacity that one entry can use for a service in the next two seconds, in slots times speed, by time.
//
// It handles loads beyond the capacity, and capacity that goes or returns at a known time. What the workers offer changes it at once.
// Which fraction of that this entry obtains depends on the other entries; a moving average follows it within half a second.
type Forecast struct {
	slots  [forecastSteps]float64
	offers float64
	// fraction is the part of the offered capacity that this entry obtains, zero before the first observation.
	fraction float64
	// least is the least fraction that is assumed: an entry without running tasks gets a part of what becomes free.
	least float64
}

const (
	// forecastStep times forecastSteps is how far a forecast looks ahead.
	forecastStep  = 250 * time.Millisecond
	forecastSteps = 8
	// fractionWeight is the weight of the newest observation of the fraction, one each 100 ms: nine tenths of a change are followed
	// within half a second.
	fractionWeight = 0.4
	// leastFairFraction is the least fraction that an entry is assumed to obtain, relative to an equal part for each entry.
	leastFairFraction = 0.25
)

// Reset removes the workers, before the current ones are added; the fraction stays.
func (f *Forecast) Reset() {
	clear(f.slots[:])
	f.offers = 0
}

// AddWorker adds a worker that offers slots at a relative speed, from a time after now until another; no end is a negative one.
func (f *Forecast) AddWorker(slots int, speed float64, from, until time.Duration) {
	capacity := float64(slots) * speed
	if from <= 0 && until != 0 {
		f.offers += capacity
	}
	for i := range f.slots {
		begin := time.Duration(i) * forecastStep
		if begin >= from && (until < 0 || begin < until) {
			f.slots[i] += capacity
		}
	}
}

// Change applies a change of the capacity offered now until the next Reset, such as the loss of a worker.
func (f *Forecast) Change(slots float64) {
	f.offers = max(f.offers+slots, 0)
	for i := range f.slots {
		f.slots[i] = max(f.slots[i]+slots, 0)
	}
}

// ObserveUse records the slots that the tasks of this entry and of all others take, with the number of entries. What is free is
// divided as what is in use.
func (f *Forecast) ObserveUse(own, others float64, entries int) {
	fair := 1 / float64(max(entries, 1))
	f.least = leastFairFraction * fair
	fraction := fair
	if own+others > 0 {
		fraction = own / (own + others)
	}
	if f.fraction == 0 {
		f.fraction = fraction
	}
	f.fraction += (fraction - f.fraction) * fractionWeight
}

// ResetFraction forgets the fraction, which is that of an equal part then; it is called while the workers are not all known yet.
func (f *Forecast) ResetFraction(entries int) { f.fraction = 1 / float64(max(entries, 1)) }

// Fraction returns the part of the offered capacity that this entry obtains.
func (f *Forecast) Fraction() float64 { return max(f.fraction, f.least) }

// Offered returns the capacity that the workers offer now.
func (f *Forecast) Offered() float64 { return f.offers }

// Slots returns the capacity that this entry can use at a time after now, at least one slot.
func (f *Forecast) Slots(after time.Duration) float64 {
	step := min(max(int(after/forecastStep), 0), forecastSteps-1)
	return max(f.slots[step]*f.Fraction(), 1)
}

// Work returns how much work can be done within a time.
func (f *Forecast) Work(within time.Duration) time.Duration {
	work := 0.0
	for step := 0; within > 0; step++ {
		length := within
		if step < forecastSteps-1 {
			length = min(within, forecastStep)
		}
		work += float64(length) * f.Slots(time.Duration(step)*forecastStep)
		within -= length
	}
	return time.Duration(work)
}

// TimeFor returns how long an amount of work takes.
func (f *Forecast) TimeFor(work time.Duration) time.Duration {
	elapsed, left := time.Duration(0), float64(work)
	for step := range forecastSteps - 1 {
		done := float64(forecastStep) * f.Slots(time.Duration(step)*forecastStep)
		if left <= done {
			return elapsed + time.Duration(left/f.Slots(elapsed))
		}
		left -= done
		elapsed += forecastStep
	}
	return elapsed + time.Duration(left/f.Slots(elapsed))
}

// Rises returns when the capacity is known to rise by a tenth, zero if it is not known to.
func (f *Forecast) Rises() time.Duration {
	const rise = 1.1
	for step, slots := range f.slots {
		if slots > rise*f.slots[0] {
			return time.Duration(step) * forecastStep
		}
	}
	return 0
}
