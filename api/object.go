package api

import (
	"encoding/json"

	"github.com/zeebo/errs"
)

// Kind names a family of objects.
type Kind string

// Kinds of objects that wheatweir reads or writes.
const (
	// KindModel holds a Model, written by operators.
	KindModel Kind = "model"
	// KindService holds a Service, written by operators.
	KindService Kind = "service"
	// KindPlacement holds a Placement: the record of one back end.
	KindPlacement Kind = "placement"
	// KindMachine holds a Machine, written by the platform itself.
	KindMachine Kind = "machine"
	// KindKeyShard holds the claimed request keys of one shard. It is read
	// and written by the ledger only and is not replicated to daemons.
	KindKeyShard Kind = "keyshard"
)

// Key identifies an object.
type Key struct {
	Kind Kind   `msgpack:"k" json:"kind"`
	Name string `msgpack:"n" json:"name"`
}

// String returns "kind/name".
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is one versioned value of the object API.
type Object struct {
	Key
	// Version is assigned by the object API; zero means "does not exist".
	Version uint64 `msgpack:"v" json:"version"`
	// Deleted marks a tombstone. Its Value is empty.
	Deleted bool `msgpack:"d,omitempty" json:"deleted,omitempty"`
	// WriteID identifies the write that produced this version. A writer that
	// lost the answer reads the object back and compares this field.
	WriteID string `msgpack:"w,omitempty" json:"write_id,omitempty"`
	// Writer names who wrote this version, for messages to operators.
	Writer string `msgpack:"u,omitempty" json:"writer,omitempty"`
	// Value is the JSON form of the typed object of this Kind.
	Value []byte `msgpack:"b,omitempty" json:"value,omitempty"`
}

// ErrDecode is the class of errors for values that do not decode.
var ErrDecode = errs.Class("api: decode")

// Decode parses the value of an object into its typed form.
func Decode[T any](object Object) (T, error) {
	var value T
	if err := json.Unmarshal(object.Value, &value); err != nil {
		return value, ErrDecode.New("%s version %d: %v", object.Key, object.Version, err)
	}
	return value, nil
}

// Encode returns the JSON form of a typed object. The types of this package
// always encode, so a failure is a programming error and panics.
func Encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
