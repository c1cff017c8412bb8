package listen

import (
	"context"
	"net/http"
)

type controllerKey struct{}

// Controller returns the controller of the response to a request, by which a
// handler sets time limits on its writes. go-zero hands some handlers a writer
// that hides it. It is nil outside of an HTTP server of this package.
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
