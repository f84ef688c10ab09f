// Package history identifies places in the history of an external store.
//
// A store numbers its changes by revision. When it is restored from an earlier copy, the changes made after
// that copy are lost, and their revisions are assigned again to other changes. A revision alone then neither
// identifies a change nor shows which of two changes is newer. The store's era, a number that increases
// with each restore, does so together with the revision.
//
// The package does no I/O.
package history

import (
	"cmp"
	"math"
	"strconv"

	"github.com/vmihailenco/msgpack/v5"
)

// Place is a place in the history of a store: a revision in an era. The zero Place comes before all others.
type Place struct {
	Era      uint64
	Revision uint64
}

// At returns the place of a revision in an era.
func At(era, revision uint64) Place { return Place{Era: era, Revision: revision} }

// Last comes after every place that a store assigns.
var Last = Place{Era: math.MaxUint64, Revision: math.MaxUint64}

// Compare returns -1 if p comes before other, 0 if they are equal and 1 if p comes after other.
func (p Place) Compare(other Place) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether a place comes before another one.
func (p Place) Before(other Place) bool { return p.Compare(other) < 0 }

// After reports whether a place comes after another one.
func (p Place) After(other Place) bool { return p.Compare(other) > 0 }

// IsZero reports whether p is the zero Place, which stands for an unknown place.
func (p Place) IsZero() bool { return p == Place{} }

// Newer returns the later of two places.
func Newer(a, b Place) Place {
	if a.Before(b) {
		return b
	}
	return a
}

// revisionBits is the number of bits of a token that hold the revision. They last for 10 years at 3,200
// writes per second, the rate of the largest store in use. With the remaining 13 bits for eras, a token
// stays below 2^53, so that JSON readers that use floating-point numbers read it exactly.
const revisionBits = 40

// Token returns the place as one number. Tokens are ordered as their places are, across eras too.
func (p Place) Token() uint64 { return p.Era<<revisionBits | p.Revision }

// String returns a place as era.revision, or the revision alone where the store names no era.
func (p Place) String() string {
	revision := strconv.FormatUint(p.Revision, 10)
	if p.Era == 0 {
		return revision
	}
	return strconv.FormatUint(p.Era, 10) + "." + revision
}

// placeElements is the length of the array that encodes a place in a message.
const placeElements = 2

// EncodeMsgpack writes a place as an array of its era and its revision.
func (p Place) EncodeMsgpack(encoder *msgpack.Encoder) error {
	if err := encoder.EncodeArrayLen(placeElements); err != nil {
		return err
	}
	if err := encoder.EncodeUint(p.Era); err != nil {
		return err
	}
	return encoder.EncodeUint(p.Revision)
}

// DecodeMsgpack reads a place. It rejects an array of any other length.
func (p *Place) DecodeMsgpack(decoder *msgpack.Decoder) error {
	length, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if length != placeElements {
		return errArrayLength
	}
	if p.Era, err = decoder.DecodeUint64(); err != nil {
		return err
	}
	p.Revision, err = decoder.DecodeUint64()
	return err
}
