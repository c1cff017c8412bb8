package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/bramleyhatch/bramleyhatch/internal/listen"
)

// post sends a body to a control endpoint of a stand-in.
func post(ctx context.Context, address string, body any) error {
	text, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(text))
	if err != nil {
		return err
	}
	response, err := listen.Client("measure").DoRequest(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
