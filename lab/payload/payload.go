// Package payload derives the text of stand-in answers from requests, so that
// a caller can check every byte of an answer: it must be whole and its own.
package payload

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the number that an answer is derived from.
func Seed(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Token returns the text of one token.
func Token(seed uint64, index int) string {
	mixed := (seed + uint64(index)*0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
	return fmt.Sprintf("%08x ", uint32(mixed>>32))
}

// Text returns the text of the first count tokens.
func Text(seed uint64, count int) string {
	var text strings.Builder
	for index := range count {
		text.WriteString(Token(seed, index))
	}
	return text.String()
}
