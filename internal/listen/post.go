package listen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Post sends a value as JSON with the named client. It returns an error unless the status
// is 200.
func Post(ctx context.Context, clientName, address string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := NewJSONRequest(ctx, http.MethodPost, address, text)
	if err != nil {
		return err
	}
	response, err := Client(clientName).DoRequest(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("post to %s: status %d", address, response.StatusCode)
	}
	return nil
}
