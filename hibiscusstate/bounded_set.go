package hibiscusstate

// BoundedSet is a set of limited size that evicts its oldest value first.
type BoundedSet[T comparable] struct {
	values map[T]struct{}
	order  []T
	next   int
	limit  int
}

// NewBoundedSet returns an empty set for at most limit values.
func NewBoundedSet[T comparable](limit int) *BoundedSet[T] {
	return &BoundedSet[T]{values: map[T]struct{}{}, limit: max(limit, 1)}
}

// Add adds v to the set and evicts the oldest value when the set is full.
func (s *BoundedSet[T]) Add(v T) {
	if s.Has(v) {
		return
	}
	s.values[v] = struct{}{}
	if len(s.order) < s.limit {
		s.order = append(s.order, v)
		return
	}
	delete(s.values, s.order[s.next])
	s.order[s.next] = v
	s.next = (s.next + 1) % s.limit
}

// Has reports whether v is in the set.
func (s *BoundedSet[T]) Has(v T) bool {
	_, ok := s.values[v]
	return ok
}

// Len returns the number of values.
func (s *BoundedSet[T]) Len() int { return len(s.values) }
