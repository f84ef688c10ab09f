// Package boundedjson decodes JSON that holds values of several writers. One of them must not keep the values of the others from
// being read by nesting its own too deeply: encoding/json refuses such a text as a whole.
package boundedjson

import (
	"bytes"
	"encoding/json"
	"errors"
)

// maxDepth is the depth of nesting up to which values are read. It is above that of every field that is decoded.
const maxDepth = 64

// Unmarshal decodes a text. If it is nested too deeply, null takes the place of each value that is deeper than maxDepth.
func Unmarshal(content []byte, into any) error {
	err := json.Unmarshal(content, into)
	var syntax *json.SyntaxError
	if err == nil || !errors.As(err, &syntax) {
		return err
	}
	pruned, changed := prune(content)
	if !changed {
		return err
	}
	return json.Unmarshal(pruned, into)
}

// prune replaces values deeper than maxDepth. It does not recurse.
func prune(content []byte) (pruned []byte, changed bool) {
	var kept bytes.Buffer
	depth, keptUntil := 0, 0
	inString, escaped := false, false
	for at, character := range content {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = character == '\\'
			inString = character != '"'
		case character == '"':
			inString = true
		case character == '[' || character == '{':
			if depth++; depth == maxDepth+1 {
				kept.Write(content[keptUntil:at])
				kept.WriteString("null")
				changed = true
			}
		case character == ']' || character == '}':
			if depth--; depth == maxDepth {
				keptUntil = at + 1
			}
		}
	}
	if depth <= maxDepth {
		kept.Write(content[keptUntil:])
	}
	return kept.Bytes(), changed
}
