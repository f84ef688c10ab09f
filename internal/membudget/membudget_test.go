package membudget_test

import (
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/zeebo/errs"

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

func TestReadAll(t *testing.T) {
	const free, limit = 10, 100
	for _, c := range []struct {
		name    string
		size    int
		room    int64
		want    int
		failure *errs.Class
		peak    int64
	}{
		{"nothing", 0, limit, 0, nil, 0},
		{"no more than is free", free - 1, 0, free - 1, nil, 0},
		{"more", 40, 1000, 40, nil, 80},
		{"the limit", limit, 1000, limit, nil, limit + 1},
		{"more than the limit", limit + 1, 1000, limit + 1, &membudget.ErrTooLarge, limit + 1},
		{"no room", 40, 30, 20, &membudget.ErrExhausted, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The budget has room for what is held before, and for c.room.
			const before = 7
			budget := membudget.New(before + c.room)
			held := budget.Reserve(membudget.AnswerBody)
			if err := held.Resize(before); err != nil {
				t.Fatal(err)
			}
			data, err := held.ReadAll(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", c.size))), free, limit)
			if len(data) != c.want || (err != nil) != (c.failure != nil) || c.failure != nil && !c.failure.Has(err) {
				t.Errorf("%d bytes, %v; want %d", len(data), err, c.want)
			}
			if usage := budget.Usage(membudget.AnswerBody); usage.Peak != before+c.peak {
				t.Errorf("peak %d, want %d", usage.Peak, before+c.peak)
			}
		})
	}
	held := membudget.New(0).Reserve(membudget.AnswerBody)
	if data, err := held.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), free, limit); data != nil || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v", data, err)
	}
}

// TestReadAllWaitsForRoom guards against messages that are lost although there is room a moment later.
func TestReadAllWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := membudget.New(100)
		other, held := budget.Reserve(membudget.AnswerBody), budget.Reserve(membudget.PeerFrame)
		if err := other.Resize(90); err != nil {
			t.Fatal(err)
		}
		held.WaitForRoom(time.Second)
		time.AfterFunc(time.Second/2, func() { other.Release() })
		if data, err := held.ReadAll(strings.NewReader(strings.Repeat("x", 50)), 10, 100); len(data) != 50 || err != nil {
			t.Errorf("%d bytes, %v", len(data), err)
		}
		began := time.Now()
		if _, err := held.ReadAll(strings.NewReader(strings.Repeat("x", 50)), 10, 100); !membudget.ErrExhausted.Has(err) || time.Since(began) > 2*time.Second {
			t.Errorf("%v after %v", err, time.Since(began))
		}
	})
}
