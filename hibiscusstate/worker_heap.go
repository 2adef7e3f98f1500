package hibiscusstate

import "slices"

// WorkerHeap orders the workers of one service by their rank for the next task, in a heap for each speed class.
//
// Each is an indexed binary heap: updating a worker costs O(log n), and reading the best one O(1). BestFitting examines the first
// few positions without sorting. Where all workers are alike, there is one class.
type WorkerHeap struct {
	// classes are the heaps that have workers, the slowest class first.
	classes      []*classHeap
	minFreeSlots int
	n            int
	// spread is set where workers differ in speed.
	spread bool
}

// classHeap is the heap of the workers of one speed class.
type classHeap struct {
	class   int
	workers []*Worker
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
	h.reorder()
}

// SetSpread sets whether workers that are at least half free rank by their free slots alone, whichever entry is their primary one. Without
// it, each entry has its tasks on its primary workers while there is room, and can't compare their speeds with those of the others.
func (h *WorkerHeap) SetSpread(spread bool) {
	if h.spread != spread {
		h.spread = spread
		h.reorder()
	}
}

// reorder computes all ranks anew.
func (h *WorkerHeap) reorder() {
	for _, c := range h.classes {
		for _, w := range c.workers {
			w.score = h.scoreOf(w)
		}
		for i := len(c.workers)/2 - 1; i >= 0; i-- {
			c.down(i)
		}
	}
}

// BestFitting returns the highest-ranked worker other than avoid among the first few of each class with this many free slots; nil
// for none.
func (h *WorkerHeap) BestFitting(slots int, avoid Incarnation) *Worker {
	var best *Worker
	for class := range h.classes {
		if w := h.ClassBestFitting(class, slots, avoid); w != nil && (best == nil || ranksHigher(w, best)) {
			best = w
		}
	}
	return best
}

// Classes returns the number of speed classes that have workers; they are numbered from the slowest, from zero.
func (h *WorkerHeap) Classes() int { return len(h.classes) }

// ClassLen returns the number of workers of a class.
func (h *WorkerHeap) ClassLen(class int) int { return len(h.classes[class].workers) }

// ClassWorker returns the first worker of a class, usable or not.
func (h *WorkerHeap) ClassWorker(class int) *Worker { return h.classes[class].workers[0] }

// ClassBest returns the highest-ranked worker of a class, nil when none is usable.
func (h *WorkerHeap) ClassBest(class int) *Worker {
	if w := h.classes[class].workers[0]; w.score > unusableScore {
		return w
	}
	return nil
}

// ClassBestFitting returns the highest-ranked worker of a class other than avoid, among the first few, with this many free slots; nil
// for none.
func (h *WorkerHeap) ClassBestFitting(class, slots int, avoid Incarnation) *Worker {
	workers := h.classes[class].workers
	var best *Worker
	for _, w := range workers[:min(candidates, len(workers))] {
		if w.score > unusableScore && w.FreeSlots() >= slots && w.id != avoid && (best == nil || ranksHigher(w, best)) {
			best = w
		}
	}
	return best
}

// Len returns the number of workers.
func (h *WorkerHeap) Len() int { return h.n }

// At returns the worker at position i, in an order that changes with every update.
func (h *WorkerHeap) At(i int) *Worker {
	for _, c := range h.classes {
		if i < len(c.workers) {
			return c.workers[i]
		}
		i -= len(c.workers)
	}
	return nil
}

// Best returns the highest-ranked worker, nil when no worker is usable.
func (h *WorkerHeap) Best() *Worker {
	var best *Worker
	for class := range h.classes {
		if w := h.ClassBest(class); w != nil && (best == nil || ranksHigher(w, best)) {
			best = w
		}
	}
	return best
}

// Add adds a worker to the heap.
func (h *WorkerHeap) Add(w *Worker) {
	w.score = h.scoreOf(w)
	w.rankedClass = w.speedClass
	i, found := h.find(w.rankedClass)
	if !found {
		h.classes = slices.Insert(h.classes, i, &classHeap{class: w.rankedClass})
	}
	c := h.classes[i]
	w.heapIndex = len(c.workers)
	c.workers = append(c.workers, w)
	c.up(w.heapIndex)
	h.n++
}

// Remove removes a worker from the heap.
func (h *WorkerHeap) Remove(w *Worker) {
	class, _ := h.find(w.rankedClass)
	c := h.classes[class]
	i := w.heapIndex
	last := len(c.workers) - 1
	c.swap(i, last)
	c.workers[last] = nil
	c.workers = c.workers[:last]
	w.heapIndex = -1
	if i < last {
		c.down(i)
		c.up(i)
	}
	if last == 0 {
		h.classes = slices.Delete(h.classes, class, class+1)
	}
	h.n--
}

// Update restores the order after a change of w.
func (h *WorkerHeap) Update(w *Worker) {
	if w.speedClass != w.rankedClass {
		h.Remove(w)
		h.Add(w)
		return
	}
	score := h.scoreOf(w)
	if score == w.score {
		return
	}
	better := score > w.score
	w.score = score
	class, _ := h.find(w.rankedClass)
	if better {
		h.classes[class].up(w.heapIndex)
		return
	}
	h.classes[class].down(w.heapIndex)
}

// find returns the position of a speed class in the list of classes, or where it would be inserted.
func (h *WorkerHeap) find(class int) (position int, found bool) {
	for i, c := range h.classes {
		if c.class >= class {
			return i, c.class == class
		}
	}
	return len(h.classes), false
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
	if w.primary || h.spread && 2*free >= w.slots {
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

func (c *classHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !ranksHigher(c.workers[i], c.workers[parent]) {
			return
		}
		c.swap(parent, i)
		i = parent
	}
}

func (c *classHeap) down(i int) {
	for {
		best := i
		for child := 2*i + 1; child <= 2*i+2 && child < len(c.workers); child++ {
			if ranksHigher(c.workers[child], c.workers[best]) {
				best = child
			}
		}
		if best == i {
			return
		}
		c.swap(best, i)
		i = best
	}
}

func (c *classHeap) swap(a, b int) {
	c.workers[a], c.workers[b] = c.workers[b], c.workers[a]
	c.workers[a].heapIndex = a
	c.workers[b].heapIndex = b
}
