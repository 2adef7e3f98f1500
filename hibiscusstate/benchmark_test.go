package hibiscusstate

import (
	"testing"
	"time"
)

// BenchmarkRing passes values from one goroutine to another, which receives them in batches.
func BenchmarkRing(b *testing.B) {
	r := NewRing[int](4096)
	done := make(chan struct{})
	go func() {
		defer close(done)
		batch := make([]int, 256)
		for {
			if _, err := r.PopBatch(batch, time.Second); err != nil {
				return
			}
		}
	}()
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Push(1); err != nil {
			b.Fatal(err)
		}
	}
	r.Close()
	<-done
}
