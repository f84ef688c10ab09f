package caller

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v2"
	"github.com/zeebo/errs"

	"github.com/wheatweir/wheatweir/outcome"
)

// ErrBadRequest is the class of requests that are not valid.
var ErrBadRequest = errs.Class("bad request")

// errorBody is the usual form of errors in the field, with our own additions.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	// Outcome is "not_run", "failed" or "unknown".
	Outcome string `json:"outcome"`
	// RetryAfterMs says when to come back; zero means that there is no use.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
}

var statusOf = map[outcome.Reason]int{
	outcome.ReasonBadRequest:     fiber.StatusBadRequest,
	outcome.ReasonUnknownModel:   fiber.StatusNotFound,
	outcome.ReasonNoReplica:      fiber.StatusServiceUnavailable,
	outcome.ReasonQueueFull:      fiber.StatusTooManyRequests,
	outcome.ReasonDeadline:       fiber.StatusServiceUnavailable,
	outcome.ReasonStarting:       fiber.StatusServiceUnavailable,
	outcome.ReasonKeyUsed:        fiber.StatusConflict,
	outcome.ReasonKeyUnavailable: fiber.StatusServiceUnavailable,
	outcome.ReasonConnect:        fiber.StatusServiceUnavailable,
	outcome.ReasonRefused:        fiber.StatusServiceUnavailable,
	outcome.ReasonBroken:         fiber.StatusBadGateway,
	outcome.ReasonMalformed:      fiber.StatusBadGateway,
	outcome.ReasonCallerGone:     statusClientClosedRequest,
	outcome.ReasonUnknownTenant:  fiber.StatusUnauthorized,
	outcome.ReasonQuota:          fiber.StatusTooManyRequests,
	outcome.ReasonQuotaUnsure:    fiber.StatusServiceUnavailable,
	ReasonStopping:               fiber.StatusServiceUnavailable,
	ReasonNoMemory:               fiber.StatusServiceUnavailable,
	ReasonConnections:            fiber.StatusServiceUnavailable,
}

// statusClientClosedRequest is the status that proxies log for a caller that
// hung up; nobody receives it.
const statusClientClosedRequest = 499

func detailOf(result outcome.Result) errorDetail {
	detail := errorDetail{
		Message:      messageOf(result),
		Type:         "server_error",
		Code:         string(result.Reason),
		Outcome:      result.Kind.String(),
		RetryAfterMs: result.RetryAfter.Milliseconds(),
	}
	switch result.Reason {
	case outcome.ReasonBadRequest, outcome.ReasonUnknownModel, outcome.ReasonKeyUsed:
		detail.Type = "invalid_request_error"
	case outcome.ReasonUnknownTenant:
		detail.Type = "authentication_error"
	case outcome.ReasonQueueFull, outcome.ReasonQuota:
		detail.Type = "rate_limit_error"
	}
	return detail
}

func messageOf(result outcome.Result) string {
	if ErrBadRequest.Has(result.Err) {
		return result.Err.Error()
	}
	message := fmt.Sprintf("request %s: %s", result.Kind, result.Reason)
	if result.Kind == outcome.NotRun && result.RetryAfter > 0 {
		message += ", may be sent again"
	}
	return message
}

func writeError(c *fiber.Ctx, result outcome.Result) error {
	c.Set(HeaderOutcome, result.Kind.String())
	if result.Kind == outcome.NotRun {
		c.Set(HeaderNotRun, "true")
	}
	if result.RetryAfter > 0 {
		seconds := int(math.Ceil(result.RetryAfter.Seconds()))
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	return c.Status(statusFor(result)).JSON(errorBody{detailOf(result)})
}

func statusFor(result outcome.Result) int {
	if result.Reason == ReasonStopping && result.Kind != outcome.NotRun {
		return fiber.StatusBadGateway
	}
	if status, known := statusOf[result.Reason]; known {
		return status
	}
	return fiber.StatusInternalServerError
}

// errorEvent is a server-sent event that ends a broken stream. No "[DONE]"
// follows it, so a caller cannot take the answer for whole.
func errorEvent(result outcome.Result) []byte {
	body, err := json.Marshal(errorBody{detailOf(result)})
	if err != nil {
		return nil
	}
	return append(append([]byte("data: "), body...), "\n\n"...)
}

func badRequest(format string, arguments ...any) outcome.Result {
	return outcome.Result{
		Kind: outcome.NotRun, Reason: outcome.ReasonBadRequest, Err: ErrBadRequest.New(format, arguments...),
	}
}
