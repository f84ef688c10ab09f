package coordination_test

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/wheatweir/wheatweir/coordination"
)

// describeFormat writes a type as the encoder treats it: names, tags and types of the fields.
func describeFormat(t reflect.Type, seen map[reflect.Type]bool, out *strings.Builder) {
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice:
		fmt.Fprintf(out, "%s ", t.Kind())
		describeFormat(t.Elem(), seen, out)
	case reflect.Map:
		fmt.Fprintf(out, "map %s ", t.Key())
		describeFormat(t.Elem(), seen, out)
	case reflect.Struct:
		fmt.Fprintf(out, "%s", t)
		if seen[t] {
			return
		}
		seen[t] = true
		out.WriteString("{")
		for field := range t.Fields() {
			fmt.Fprintf(out, "%s %q ", field.Name, field.Tag.Get("msgpack"))
			describeFormat(field.Type, seen, out)
			out.WriteString(";")
		}
		out.WriteString("}")
	default:
		out.WriteString(t.String())
	}
}

// TestMessageFormIsNamedAnew fails if the format of Message, or of a type in it, differs from the
// one that MessageForm names. In that case give MessageForm a new name and update the sum to the
// printed one.
func TestMessageFormIsNamedAnew(t *testing.T) {
	const named, sum = "14", uint64(0x4c48a50976e43e4f)
	var form strings.Builder
	describeFormat(reflect.TypeFor[coordination.Message](), map[reflect.Type]bool{}, &form)
	if got := xxhash.Sum64String(form.String()); got != sum || coordination.MessageForm != named {
		t.Errorf("format %q has the sum %#x, want %q and %#x", coordination.MessageForm, got, named, sum)
	}
}

// TestFieldsHaveKeysOfTheirOwn guards against a field of an embedded type that is encoded under the
// key of another field.
func TestFieldsHaveKeysOfTheirOwn(t *testing.T) {
	checkKeys(t, reflect.TypeFor[coordination.Message](), map[reflect.Type]bool{})
}

func checkKeys(t *testing.T, of reflect.Type, seen map[reflect.Type]bool) {
	switch of.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Map:
		checkKeys(t, of.Elem(), seen)
		return
	case reflect.Struct:
	default:
		return
	}
	if seen[of] {
		return
	}
	seen[of] = true
	keys := map[string]string{}
	for _, field := range reflect.VisibleFields(of) {
		checkKeys(t, field.Type, seen)
		key, _, _ := strings.Cut(field.Tag.Get("msgpack"), ",")
		if key == "" || field.Anonymous {
			continue
		}
		if other, taken := keys[key]; taken {
			t.Errorf("%s: %s and %s are both sent as %q", of, other, field.Name, key)
		}
		keys[key] = field.Name
	}
}
