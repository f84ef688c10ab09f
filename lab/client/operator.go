package client

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/wheatweir/wheatweir/operator"
)

// Operator sends an operator's command to one daemon.
func (c *Client) Operator(ctx context.Context, address, credential, command string) (*operator.Result, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/operator/v1/command", strings.NewReader(command))
	if err != nil {
		return nil, ErrCall.Wrap(err)
	}
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	response, err := c.questions.Do(request)
	if err != nil {
		return nil, ErrCall.Wrap(err)
	}
	defer response.Body.Close()
	var result operator.Result
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return nil, ErrCall.Wrap(err)
	}
	return &result, nil
}
