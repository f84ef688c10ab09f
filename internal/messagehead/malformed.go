package messagehead

import (
	"errors"
	"fmt"
)

// Defect is what is wrong with the bytes that stand in the place of a head.
type Defect string

// Defects, as they appear in logs and metrics.
const (
	// DefectStatusLine is a first line that is no status line, a control byte in it, or a second status line.
	DefectStatusLine Defect = "status_line"
	// DefectStatus is a status outside 100 to 599, or not of three digits.
	DefectStatus Defect = "status"
	// DefectProtocol is a switch to a protocol that nobody asked for.
	DefectProtocol Defect = "protocol"
	// DefectFieldName is a line without the name of a field, or with other bytes in it than a name has.
	DefectFieldName Defect = "field_name"
	// DefectFieldValue is a control byte in a value.
	DefectFieldValue Defect = "field_value"
	// DefectFolding is a line that begins with a blank or tab: it may continue the field before it, or be one of its own.
	DefectFolding Defect = "folding"
	// DefectFraming is a body whose end is told in more than one way.
	DefectFraming Defect = "framing"
	// DefectEnd is a head whose end the HTTP library finds elsewhere.
	DefectEnd Defect = "end"
)

// Defects lists all defects.
func Defects() []Defect {
	return []Defect{DefectStatusLine, DefectStatus, DefectProtocol, DefectFieldName, DefectFieldValue, DefectFolding, DefectFraming, DefectEnd}
}

// MalformedError means that bytes in the place of a response are not the head of one.
type MalformedError struct{ Defect Defect }

// Error implements error.
func (m *MalformedError) Error() string { return fmt.Sprintf("malformed head: %s", m.Defect) }

// DefectOf returns what is wrong with the head of a response; empty if an error has another cause.
func DefectOf(err error) Defect {
	var malformed *MalformedError
	if errors.As(err, &malformed) {
		return malformed.Defect
	}
	return ""
}
