package gateway

import (
	"errors"
	"fmt"
)

const (
	// minHeadLimit is the smallest limit in bytes for the head of an answer. A configuration that allows clients longer
	// heads allows instances the same.
	minHeadLimit = 64 << 10
	// maxEventBytes is the largest size of one event of a stream.
	maxEventBytes = 1 << 20
	// maxEventIDBytes is the largest size of the ID of an event.
	maxEventIDBytes = 4 << 10
)

// AnswerPart is a part of an instance's answer.
type AnswerPart string

// Parts of answers.
const (
	// PartHead is the head, with the interim answers before it.
	PartHead AnswerPart = "head"
	// PartBody is the body of an answer to a call of this daemon's own. Bodies for clients have no limit.
	PartBody AnswerPart = "body"
	// PartEvent is one event of a stream.
	PartEvent AnswerPart = "event"
	// PartEventID is the ID of an event.
	PartEventID AnswerPart = "event_id"
)

// OversizedError means that an instance sent more of a part of an answer than it may have. The instance was still sending, so
// it has not crashed.
type OversizedError struct {
	Part  AnswerPart
	Limit int64
	// Unit is that of Limit.
	Unit string
}

// Error implements error.
func (o *OversizedError) Error() string {
	return fmt.Sprintf("%s of the answer exceeds %d %s", o.Part, o.Limit, o.Unit)
}

// headLimit returns the limit in bytes for the head of an answer.
func (e *exchange) headLimit() int64 {
	limit := int64(minHeadLimit)
	if configuration := e.gateway.view.Load().Configuration(); configuration != nil {
		limit = max(limit, int64(configuration.Limits.MaxHeaderBytes))
	}
	return limit
}

// OversizedPart returns the part of an answer of which an instance sent too much; empty if an error has another cause.
func OversizedPart(err error) AnswerPart {
	var oversized *OversizedError
	if errors.As(err, &oversized) {
		return oversized.Part
	}
	return ""
}
