package listen

import (
	"context"
	"net/http"
)

type controllerKey struct{}

// Controller returns the response controller of a request, or nil outside an HTTP server of
// this package. Handlers use it to set write deadlines: go-zero passes some handlers a
// writer that hides the methods for deadlines.
func Controller(ctx context.Context) *http.ResponseController {
	controller, _ := ctx.Value(controllerKey{}).(*http.ResponseController)
	return controller
}

func withController(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := context.WithValue(r.Context(), controllerKey{}, http.NewResponseController(w))
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}
