package hibiscusmeasure

import "math/rand/v2"

// power_of_two requests the queue lengths of two random workers before it sends a task, and sends it to the shorter queue. The
// queues are those of the fifo baseline. The lengths are one link latency old when they arrive, and two when the task does.

// probeMessages is the number of messages besides the task and its result: two requests and two responses.
const probeMessages = 4

// powerOfTwo is the baseline power_of_two.
type powerOfTwo struct {
	fifo *fifo
	rng  *rand.Rand
	sent int
}

func newPowerOfTwo(t *trial, seed uint64) {
	p := &powerOfTwo{fifo: newFIFO(t, seed, workers, slotsPerWorker), rng: rand.New(rand.NewPCG(seed, 5))}
	t.submit = p.submit
	t.wasted = func() int { return p.sent }
}

func (p *powerOfTwo) submit(a *submission, reply func(answer)) {
	j := p.fifo.newJob(a, reply)
	for i := range a.runs {
		first := p.rng.IntN(workers)
		second := (first + 1 + p.rng.IntN(workers-1)) % workers
		p.probe(fifoTask{job: j, index: i}, first, second)
	}
}

// probe requests both queue lengths and sends the task when both have arrived.
func (p *powerOfTwo) probe(t fifoTask, first, second int) {
	p.sent += probeMessages
	pending := 2
	lengths := [2]int{}
	for i, n := range [2]int{first, second} {
		p.fifo.afterLatency(t.job, n, func() {
			lengths[i] = p.fifo.queues[n].length()
			p.fifo.afterLatency(t.job, n, func() {
				pending--
				switch {
				case pending > 0:
				case lengths[1] < lengths[0]:
					p.fifo.send(second, t)
				default:
					p.fifo.send(first, t)
				}
			})
		})
	}
}
