package caller

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/wheatweir/wheatweir/api"
	"github.com/wheatweir/wheatweir/outcome"
)

// completionBody holds the fields of a body that wheatweir needs. All other
// fields reach the engine untouched.
type completionBody struct {
	Model         string          `json:"model"`
	Stream        bool            `json:"stream"`
	Messages      json.RawMessage `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Priority      string          `json:"priority"`
	DeadlineMs    *int64          `json:"deadline_ms"`
	NotRepeatable bool            `json:"not_repeatable"`
	RequestKey    string          `json:"request_key"`
	MaxTokens     int             `json:"max_tokens"`
}

// requestHeaders are the headers that a call can carry.
type requestHeaders struct {
	Priority      string
	Deadline      string
	NotRepeatable string
	RequestKey    string
}

const (
	// bytesPerToken estimates the tokens of a prompt: four bytes each is usual for the
	// tokenizers of language models.
	bytesPerToken = 4
	// maxKeyBytes bounds a request key.
	maxKeyBytes = 256
	// maxDeadline bounds how far off a deadline may be.
	maxDeadline = time.Hour
)

// decodeCompletion fills in a call from a body and headers.
func decodeCompletion(call *Call, headers requestHeaders) (outcome.Result, bool) {
	var body completionBody
	if err := json.Unmarshal(call.Body, &body); err != nil {
		return badRequest("body is not valid JSON: %v", err), false
	}
	if body.Model == "" {
		return badRequest("field \"model\" is missing"), false
	}
	if len(body.Messages) == 0 && len(body.Prompt) == 0 {
		return badRequest("field \"messages\" or \"prompt\" is missing"), false
	}
	call.Reference = api.ParseModelReference(body.Model)
	call.Stream = body.Stream
	call.PromptTokens = (len(body.Messages) + len(body.Prompt)) / bytesPerToken
	call.OutputTokens = max(0, body.MaxTokens)
	if headers.Priority == "" {
		headers.Priority = body.Priority
	}
	if headers.Deadline == "" && body.DeadlineMs != nil {
		headers.Deadline = strconv.FormatInt(*body.DeadlineMs, 10)
	}
	if headers.RequestKey == "" {
		headers.RequestKey = body.RequestKey
	}
	if body.NotRepeatable {
		headers.NotRepeatable = "true"
	}
	return decodeHeaders(call, headers)
}

// decodeHeaders fills in a call from its headers.
func decodeHeaders(call *Call, headers requestHeaders) (outcome.Result, bool) {
	call.Priority = NoPriority
	if headers.Priority != "" {
		priority, err := api.ParsePriority(headers.Priority)
		if err != nil {
			return badRequest("%v", err), false
		}
		call.Priority = priority
	}
	if headers.Deadline != "" {
		milliseconds, err := strconv.ParseInt(headers.Deadline, 10, 64)
		if err != nil || milliseconds <= 0 || milliseconds > maxDeadline.Milliseconds() {
			return badRequest("deadline %q: give whole milliseconds from 1 to %d", headers.Deadline, maxDeadline.Milliseconds()), false
		}
		call.Deadline = call.ArrivedAt.Add(time.Duration(milliseconds) * time.Millisecond)
	}
	if len(headers.RequestKey) > maxKeyBytes {
		return badRequest("request key is over %d bytes", maxKeyBytes), false
	}
	switch strings.ToLower(headers.NotRepeatable) {
	case "", "false":
		call.Repeatable = headers.RequestKey == ""
	case "true":
		call.Repeatable = false
	default:
		return badRequest("header %s: give true or false", HeaderNotRepeatable), false
	}
	call.Key = headers.RequestKey
	return outcome.Result{}, true
}
