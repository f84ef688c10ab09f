package membudget_test

import (
	"sync"
	"testing"

	"github.com/wheatweir/wheatweir/internal/membudget"
)

func TestReservationsShareTheLimit(t *testing.T) {
	budget := membudget.New(100)
	head, body := budget.Reserve(membudget.AnswerHead), budget.Reserve(membudget.AnswerBody)
	if err := head.Resize(60); err != nil {
		t.Fatal(err)
	}
	if err := body.Resize(41); !membudget.ErrExhausted.Has(err) {
		t.Errorf("41 bytes beside 60 of 100: %v", err)
	}
	if err := body.Resize(40); err != nil {
		t.Error(err)
	}
	if err := head.Resize(61); !membudget.ErrExhausted.Has(err) {
		t.Errorf("a full budget has room: %v", err)
	}
	head.Release()
	if err := body.Resize(100); err != nil {
		t.Error(err)
	}
	if got, want := budget.Usage(membudget.AnswerHead), (membudget.Usage{Peak: 60, Denied: 1}); got != want {
		t.Errorf("head %+v, want %+v", got, want)
	}
	if got, want := budget.Usage(membudget.AnswerBody), (membudget.Usage{Bytes: 100, Peak: 100, Denied: 1}); got != want {
		t.Errorf("body %+v, want %+v", got, want)
	}
}

// TestConcurrentReservationsKeepTheLimit guards against reservations that together exceed the limit, or that are not given
// back.
func TestConcurrentReservationsKeepTheLimit(t *testing.T) {
	const limit = 1000
	budget := membudget.New(limit)
	var group sync.WaitGroup
	for worker := range 8 {
		group.Go(func() {
			held := budget.Reserve(membudget.Event)
			for round := range 1000 {
				_ = held.Resize(int64((worker*131 + round*17) % 400))
			}
			held.Release()
		})
	}
	group.Wait()
	if usage := budget.Usage(membudget.Event); usage.Bytes != 0 || usage.Peak > limit {
		t.Errorf("%+v at the end", usage)
	}
	all := budget.Reserve(membudget.AnswerBody)
	if err := all.Resize(limit); err != nil {
		t.Error(err)
	}
}

// BenchmarkResize measures a reservation that grows once and is given back.
func BenchmarkResize(b *testing.B) {
	budget := membudget.New(1 << 30)
	for b.Loop() {
		held := budget.Reserve(membudget.AnswerBody)
		_ = held.Resize(16 << 10)
		held.Release()
	}
}
