package membudget

import (
	"errors"
	"io"
	"time"

	"github.com/zeebo/errs"
)

// ErrTooLarge means that data exceeds the limit of its reader.
var ErrTooLarge = errs.Class("data too large")

// waitInterval is the time between two attempts of a reader that waits for room.
const waitInterval = 10 * time.Millisecond

// WaitForRoom makes ReadAll wait for room in the budget, up to a time, before it gives up.
func (r *Reservation) WaitForRoom(timeout time.Duration) { r.waitForRoom = timeout }

// ReadAll reads from source until its end. The buffer begins with free bytes, which are not reserved, and grows by doubling as
// data arrives; each larger one is reserved, beside what the reservation holds already, before it is allocated. Data of more than limit bytes is ErrTooLarge. With
// ErrTooLarge and ErrExhausted, ReadAll returns what it has read.
func (r *Reservation) ReadAll(source io.Reader, free, limit int64) ([]byte, error) {
	// One byte more than the limit tells that there is more.
	return r.read(source, make([]byte, 0, min(free, limit+1)), r.size, limit)
}

// Continue goes on with what another reservation of ReadAll has read, as ReadAll. All of the buffer is reserved here.
func (r *Reservation) Continue(source io.Reader, data []byte, limit int64) ([]byte, error) {
	held := r.size
	if err := r.grow(held + int64(cap(data))); err != nil {
		return data, err
	}
	return r.read(source, data, held, limit)
}

// read reads into data, which grows beside what is held.
func (r *Reservation) read(source io.Reader, data []byte, held, limit int64) ([]byte, error) {
	for {
		if int64(len(data)) > limit {
			return data, ErrTooLarge.New("more than %d bytes", limit)
		}
		if len(data) == cap(data) {
			size := min(2*int64(cap(data)), limit+1)
			if err := r.grow(held + size); err != nil {
				return data, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		count, err := source.Read(data[len(data):cap(data)])
		data = data[:len(data)+count]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow resizes the reservation, and waits for room if it may.
func (r *Reservation) grow(size int64) error {
	err := r.Resize(size)
	for until := time.Now().Add(r.waitForRoom); err != nil && time.Now().Before(until); err = r.Resize(size) {
		time.Sleep(waitInterval)
	}
	return err
}
