package hibiscusstate

// WorkerHeap orders the workers of one service by their rank for the next task.
//
// It is an indexed binary heap: updating a worker costs O(log n), and reading the best one O(1). BestFitting examines the first
// few positions without sorting.
type WorkerHeap struct {
	workers      []*Worker
	minFreeSlots int
}

const (
	// primaryScore ranks the workers whose primary entry this is above all others with a free slot, so that entries with outdated
	// views rarely pick the same slot.
	primaryScore = 1 << 36
	// freeSlotScore ranks workers with a free slot above all without.
	freeSlotScore = 1 << 40
	// unusableScore ranks workers that get no tasks below all others.
	unusableScore = -1 << 40
	// candidates is the number of positions at the top of the heap that BestFitting examines.
	candidates = 8
)

// NewWorkerHeap returns an empty heap.
func NewWorkerHeap() *WorkerHeap { return &WorkerHeap{minFreeSlots: 1} }

// SetMinFreeSlots sets how many free slots a worker must have to count as free, and reorders all workers.
func (h *WorkerHeap) SetMinFreeSlots(slots int) {
	h.minFreeSlots = max(slots, 1)
	for _, w := range h.workers {
		w.score = h.scoreOf(w)
	}
	for i := len(h.workers)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

// BestFitting returns the highest-ranked worker other than avoid among the first few with this many free slots; nil for none.
func (h *WorkerHeap) BestFitting(slots int, avoid Incarnation) *Worker {
	var best *Worker
	for _, w := range h.workers[:min(candidates, len(h.workers))] {
		if w.score > unusableScore && w.FreeSlots() >= slots && w.id != avoid && (best == nil || ranksHigher(w, best)) {
			best = w
		}
	}
	return best
}

// Len returns the number of workers.
func (h *WorkerHeap) Len() int { return len(h.workers) }

// At returns the worker at position i of the heap; position 0 holds the best one.
func (h *WorkerHeap) At(i int) *Worker { return h.workers[i] }

// Best returns the highest-ranked worker, nil when no worker is usable.
func (h *WorkerHeap) Best() *Worker {
	if len(h.workers) == 0 || h.workers[0].score <= unusableScore {
		return nil
	}
	return h.workers[0]
}

// Add adds a worker to the heap.
func (h *WorkerHeap) Add(w *Worker) {
	w.score = h.scoreOf(w)
	w.heapIndex = len(h.workers)
	h.workers = append(h.workers, w)
	h.up(w.heapIndex)
}

// Remove removes a worker from the heap.
func (h *WorkerHeap) Remove(w *Worker) {
	i := w.heapIndex
	last := len(h.workers) - 1
	h.swap(i, last)
	h.workers[last] = nil
	h.workers = h.workers[:last]
	w.heapIndex = -1
	if i < last {
		h.down(i)
		h.up(i)
	}
}

// Update restores the order after a change of w.
func (h *WorkerHeap) Update(w *Worker) {
	score := h.scoreOf(w)
	if score == w.score {
		return
	}
	better := score > w.score
	w.score = score
	if better {
		h.up(w.heapIndex)
		return
	}
	h.down(w.heapIndex)
}

func (h *WorkerHeap) scoreOf(w *Worker) int {
	if !w.Usable() {
		return unusableScore
	}
	free := w.FreeSlots()
	if free < h.minFreeSlots {
		return free - w.waiting*h.minFreeSlots
	}
	score := freeSlotScore + free
	if w.primary {
		score += primaryScore
	}
	return score
}

// ranksHigher reports whether a ranks higher than b and gets the next task.
func ranksHigher(a, b *Worker) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.tieBreaker > b.tieBreaker
}

func (h *WorkerHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !ranksHigher(h.workers[i], h.workers[parent]) {
			return
		}
		h.swap(parent, i)
		i = parent
	}
}

func (h *WorkerHeap) down(i int) {
	for {
		best := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(h.workers); child++ {
			if ranksHigher(h.workers[child], h.workers[best]) {
				best = child
			}
		}
		if best == i {
			return
		}
		h.swap(best, i)
		i = best
	}
}

func (h *WorkerHeap) swap(a, b int) {
	h.workers[a], h.workers[b] = h.workers[b], h.workers[a]
	h.workers[a].heapIndex = a
	h.workers[b].heapIndex = b
}
