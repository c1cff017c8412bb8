package listen

import (
	"context"
	"net/http"
)

type controllerKey struct{}

// Controller returns the response controller of a request, or nil outside an HTTP server of
// this package. Handlers use it to set write deadlines: some wrap the writer in one that hides
// the methods for deadlines.
func Controller(ctx context.Context) *http.ResponseController {
	controller, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	return controller
}
